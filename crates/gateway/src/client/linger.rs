//! Ends a connection so that its last reply arrives: a close over unread bytes of the client would reset the connection,
//! and the reply would be lost with it.

use bytes::BytesMut;
use runtime::Span;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MS: Span = 1_000_000;
/// How long a connection lingers at most.
pub(super) const LINGER_TIMEOUT: Span = 500 * MS;
/// Maximum number of connections that linger after another one has got their slot: small, since each holds a descriptor
/// beyond the limit on connections.
pub(crate) const MAX_LINGERING: u64 = 8;
/// Maximum number of bytes that are read and discarded of a client that goes on sending after its last reply, or after
/// bytes that cannot be decoded.
pub(super) const MAX_DISCARDED: usize = 256 * 1024;
const READ_CAPACITY: usize = 16 * 1024;

/// Ends the sending direction and waits for the client to end the other one.
pub(super) async fn linger<R, W>(reader: &mut R, writer: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin + Send,
    W: AsyncWrite + Unpin + Send,
{
    let mut discarded = BytesMut::with_capacity(READ_CAPACITY);
    writer.shutdown().await?;
    let mut remaining = MAX_DISCARDED;
    while remaining > 0 {
        discarded.clear();
        match reader.read_buf(&mut discarded).await? {
            0 => return Ok(()),
            count => remaining = remaining.saturating_sub(count),
        }
    }
    // The system's flow control stops a client that does not stop sending, while the client reads its last reply.
    std::future::pending().await
}
