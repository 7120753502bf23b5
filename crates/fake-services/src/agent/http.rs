//! As much of HTTP/1.1 as an agent needs.

use bytes::{Buf, BytesMut};

const MAX_HEAD: usize = 8 * 1024;
const PATH: &str = "/registry/instances";

/// Nothing is at this path.
pub(super) const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The request cannot be understood; the connection ends.
pub(super) const BAD_REQUEST: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// The head of a watch.
pub(super) const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// The whole list.
    List,
    /// A watch from this version on.
    Watch(Option<u64>),
    /// What does not exist.
    Unknown,
    /// What cannot be understood.
    Bad,
}

/// Takes the first request off the bytes read; `None`: more are needed.
pub(super) fn take(input: &mut BytesMut) -> Option<Request> {
    let head = &input[..input.len().min(MAX_HEAD)];
    let end = head.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let Some(end) = end else {
        return (input.len() >= MAX_HEAD).then_some(Request::Bad);
    };
    let head = input.split_to(end);
    input.advance(4);
    Some(std::str::from_utf8(&head).map_or(Request::Bad, read))
}

fn read(head: &str) -> Request {
    let mut lines = head.split("\r\n");
    let words: Vec<&str> = lines.next().unwrap_or_default().split(' ').collect();
    let ["GET", target, "HTTP/1.1"] = words[..] else { return Request::Bad };
    // A body would be read as the next request.
    let has_body = |line: &str| {
        let name = line.split(':').next().unwrap_or_default().to_ascii_lowercase();
        name == "content-length" || name == "transfer-encoding"
    };
    if lines.any(has_body) {
        return Request::Bad;
    }
    match target.split_once('?') {
        None if target == PATH => Request::List,
        Some((PATH, query)) => watch(query),
        _ => Request::Unknown,
    }
}

fn watch(query: &str) -> Request {
    let (mut watches, mut after) = (false, None);
    for part in query.split('&') {
        match part.split_once('=') {
            Some(("watch", "1")) => watches = true,
            Some(("after", version)) => match version.parse() {
                Ok(version) => after = Some(version),
                Err(_) => return Request::Bad,
            },
            _ => return Request::Bad,
        }
    }
    if watches {
        Request::Watch(after)
    } else {
        Request::Bad
    }
}

/// A whole answer.
pub(super) fn whole(text: &str) -> Vec<u8> {
    let length = text.len();
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}")
        .into_bytes()
}

/// A line of a watch.
pub(super) fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(text: &str) -> Vec<Request> {
        let mut input = BytesMut::from(text);
        std::iter::from_fn(|| take(&mut input)).collect()
    }

    #[test]
    fn requests_are_read_one_by_one() {
        let list = "GET /registry/instances HTTP/1.1\r\nHost: a\r\n\r\n";
        assert_eq!(all(list), [Request::List]);
        assert_eq!(all(&list[..list.len() - 1]), []);
        let watch = "GET /registry/instances?watch=1&after=41 HTTP/1.1\r\n\r\n";
        assert_eq!(all(&format!("{list}{watch}")), [Request::List, Request::Watch(Some(41))]);
        assert_eq!(all("GET /registry/instances?watch=1 HTTP/1.1\r\n\r\n"), [Request::Watch(None)]);
        assert_eq!(all("GET /registry HTTP/1.1\r\n\r\n"), [Request::Unknown]);
    }

    #[test]
    fn what_cannot_be_understood_is_bad() {
        for head in [
            "POST /registry/instances HTTP/1.1",
            "GET /registry/instances HTTP/1.0",
            "GET /registry/instances",
            "GET /registry/instances?watch=2 HTTP/1.1",
            "GET /registry/instances?watch=1&after=-1 HTTP/1.1",
            "GET /registry/instances?after=1 HTTP/1.1",
            "GET /registry/instances?watch=1&x=1 HTTP/1.1",
            "GET /registry/instances HTTP/1.1\r\nContent-Length: 3",
            "",
        ] {
            assert_eq!(all(&format!("{head}\r\n\r\n")), [Request::Bad], "{head}");
        }
    }

    #[test]
    fn a_head_is_bounded() {
        let long = format!("GET /registry/instances HTTP/1.1\r\nX: {}", "x".repeat(MAX_HEAD));
        assert_eq!(take(&mut BytesMut::from(long.as_str())), Some(Request::Bad));
        assert_eq!(take(&mut BytesMut::from(&long[..MAX_HEAD - 1])), None);
    }
}
