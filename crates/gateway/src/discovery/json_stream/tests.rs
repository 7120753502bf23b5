use super::*;

/// All parts of a stream that comes in frames of one size, and how it ends.
fn parts(stream: &str, size: usize) -> (Vec<String>, Result<(), ListError>) {
    let (mut documents, mut found) = (JsonStream::default(), Vec::new());
    for frame in stream.as_bytes().chunks(size) {
        documents.push(frame);
        loop {
            match documents.next() {
                Ok(Some(StreamItem::Document(text))) => found.push(String::from_utf8(text.to_vec()).unwrap()),
                Ok(Some(StreamItem::Whitespace)) => {}
                Ok(None) => break,
                Err(error) => return (found, Err(error)),
            }
        }
    }
    (found, Ok(()))
}

#[test]
fn documents_are_split_alike_however_they_are_fragmented() {
    let cases: [(&str, &[&str]); 8] = [
        ("", &[]),
        (" \r\n\t\n", &[]),
        ("{}\n\n{\"a\":1}\n", &["{}", "{\"a\":1}"]),
        ("{}{}{\"a\"", &["{}", "{}"]),
        ("{\n  \"a\": [\n    {}\n  ]\n}\n", &["{\n  \"a\": [\n    {}\n  ]\n}"]),
        (r#"{"a":"}{]["}{}"#, &[r#"{"a":"}{]["}"#, "{}"]),
        (r#"{"a":"\"}","b":"\\"}{}"#, &[r#"{"a":"\"}","b":"\\"}"#, "{}"]),
        ("{\"\u{e9}\u{1f980}\":[]}", &["{\"\u{e9}\u{1f980}\":[]}"]),
    ];
    for (stream, expected) in cases {
        for size in 1..=stream.len().max(1) {
            let (found, end) = parts(stream, size);
            assert!(found == expected && end.is_ok(), "{stream} by {size}: {found:?}, {end:?}");
        }
    }
}

#[test]
fn an_invalid_or_too_long_document_is_an_error() {
    let long = format!("{{\"a\":\"{}", "x".repeat(MAX_DOCUMENT));
    let cases = [("{}\n[]", 1, ListError::NoDocument), ("x", 0, ListError::NoDocument)];
    for (stream, whole, error) in cases.into_iter().chain([(long.as_str(), 0, ListError::TooLong)]) {
        let (found, end) = parts(stream, 4096);
        assert_eq!((found.len(), end.unwrap_err().to_string()), (whole, error.to_string()));
    }
}
