//! A connection to a stand-in host. Its commands are begun as they come and answered in their order.

use super::state::{ConnId, Signals};
use super::Shared;
use bytes::BytesMut;
use resp::{decode, fill, RespError, MAX_FRAME};
use runtime::{Env, Reader, Sleep, Stream, Time, Writer};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt};

pub(super) struct Connection<E: Env> {
    pub shared: Arc<Shared<E>>,
    pub id: ConnId,
    pub gateway: u32,
    pub signals: Arc<Signals>,
}

impl<E: Env> Connection<E> {
    /// Carries commands and answers until one side ends it. A peer that ends its sending has given up what it
    /// asked for.
    pub(super) async fn run(self, stream: E::Stream) {
        let (mut reader, mut writer) = stream.into_split();
        let reset = tokio::select! {
            biased;
            () = self.signals.cut.notified() => true,
            read = self.read(&mut reader) => {
                if let Err(RespError::Malformed(_) | RespError::TooLong(_)) = read {
                    self.shared.act(|state, _| state.on_unreadable());
                }
                false
            }
            _ = self.write(&mut writer) => false,
            () = self.stand_idle() => false,
        };
        self.shared.act(|state, now| state.close(now, self.id));
        if reset {
            writer.reset();
        }
    }

    async fn read(&self, reader: &mut impl Reader) -> Result<(), RespError> {
        let mut buf = BytesMut::new();
        let mut first_byte: Time = 0;
        let mut last_bytes: Time = 0;
        loop {
            let full = !self.shared.lock().has_room(self.id);
            if !full {
                if let Some(frame) = decode(&mut buf)? {
                    self.shared.act(|state, now| state.on_command(now, self.id, &frame, first_byte));
                    // What lies behind a whole command has come with its last bytes.
                    first_byte = last_bytes;
                    continue;
                }
            }
            let fresh = buf.is_empty();
            tokio::select! {
                biased;
                filled = fill(reader, &mut buf), if !full || buf.len() < MAX_FRAME => {
                    let came = self.shared.env.now();
                    self.come(came).await;
                    filled?;
                    last_bytes = reader.sent_at().unwrap_or(came);
                    if fresh {
                        first_byte = last_bytes;
                    }
                }
                () = self.signals.room.notified(), if full => {}
            }
        }
    }

    /// Bytes that came at this moment count from here on.
    async fn come(&self, came: Time) {
        if self.shared.lag > 0 {
            self.shared.env.sleep_until(came.saturating_add(self.shared.lag)).await;
        }
        self.shared.until_heard(self.gateway).await;
        self.shared.act(|state, now| state.touch(now, self.id));
    }

    async fn write(&self, writer: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        loop {
            let ready = self.shared.lock().ready_since(self.id);
            let Some(ready) = ready else {
                self.signals.answers.notified().await;
                continue;
            };
            if self.shared.lag > 0 {
                self.shared.env.sleep_until(ready.saturating_add(self.shared.lag)).await;
            }
            self.shared.until_may_send(self.gateway).await;
            let Some(bytes) = self.shared.act(|state, now| state.begin(now, self.id)) else { continue };
            writer.write_all(&bytes).await?;
            writer.flush().await?;
            self.shared.act(|state, now| state.on_written(now, self.id));
        }
    }

    /// Rests until the connection has stood idle for too long.
    async fn stand_idle(&self) {
        let mut sleep = pin!(self.shared.env.sleep_until(self.idle_at()));
        loop {
            sleep.as_mut().await;
            // A host that is paused or cut off ends nothing that its peer could hear of.
            self.shared.until_may_send(self.gateway).await;
            let due = self.idle_at();
            if due <= self.shared.env.now() {
                return;
            }
            sleep.as_mut().reset(due);
        }
    }

    fn idle_at(&self) -> Time {
        self.shared.lock().idle_at(self.shared.env.now(), self.id)
    }
}
