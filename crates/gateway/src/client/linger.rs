//! Closes a connection so that its last reply arrives. Closing a socket with unread input resets the connection, and
//! the client would lose the reply.

use runtime::Span;
use std::io;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

const MS: Span = 1_000_000;
/// Maximum time that a connection lingers.
pub(super) const LINGER_TIMEOUT: Span = 500 * MS;
/// Maximum number of connections that linger after their slot has been given to another connection. It is small, since
/// each of them holds a descriptor beyond the limit on connections.
pub(crate) const MAX_LINGERING: u64 = 8;
/// Maximum number of bytes that are read and discarded from a client that continues to send after its last reply, or
/// after bytes that cannot be decoded.
pub(super) const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// Shuts down the sending direction and waits for the client to close the other one.
pub(super) async fn linger<R, W>(reader: &mut R, writer: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin + Send,
    W: AsyncWrite + Unpin + Send,
{
    writer.shutdown().await?;
    let mut remaining = MAX_DISCARDED_BYTES;
    while remaining > 0 {
        match resp::discard(reader).await? {
            0 => return Ok(()),
            count => remaining = remaining.saturating_sub(count),
        }
    }
    // TCP flow control now blocks a client that continues to send, while it can still read its last reply.
    std::future::pending().await
}
