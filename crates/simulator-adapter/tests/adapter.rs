//! The adapter replies to frames, and reports malformed input with a plain message.

use simulator_adapter::Adapter;

fn frame_of(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let size = 16 + 56 * records.len() + tail.len();
    let mut frame = 5_000_000_000u64.to_le_bytes().to_vec();
    frame.extend((size as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    for record in records {
        let mut record = record.clone();
        record.resize(56, 0);
        frame.extend(record);
    }
    frame.extend(tail);
    frame
}

fn attach_record(length: usize) -> Vec<u8> {
    let mut record = vec![11, 0, 3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    record.extend((length as u32).to_le_bytes());
    record
}

#[test]
fn a_frame_without_events_gets_an_empty_reply() {
    let reply = Adapter::default().answer(&frame_of(&[], &[])).unwrap();
    assert_eq!(reply, [0, 0, 0, 0, 8, 0, 0, 0]);
}

#[test]
fn malformed_frames_are_errors_that_name_their_defect() {
    let error_of = |frame: &[u8]| Adapter::default().answer(frame).unwrap_err().to_string();
    assert!(error_of(&frame_of(&[], &[])[..12]).contains("truncated"));
    assert!(error_of(&frame_of(&[vec![99, 0]], &[])).contains("event code at byte 16 has invalid value 99"));
    assert!(error_of(&frame_of(&[vec![12, 0, 3]], &[])).contains("has not been started"));
    assert!(error_of(&frame_of(&[attach_record(9)], b"{}")).contains("tail is truncated"));
    for (text, expected) in
        [("{", "settings: "), ("{}", "`allowed` is missing"), ("3", "the settings are 3, not an object")]
    {
        let message = error_of(&frame_of(&[attach_record(text.len())], text.as_bytes()));
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn unknown_settings_are_ignored() {
    let example = include_str!("../../../deploy/example.json");
    let mut settings = serde_json::from_str::<serde_json::Value>(example).unwrap()["settings"].take();
    settings["new"] = serde_json::json!([1]);
    settings["services"][0]["something-else"] = serde_json::json!({});
    let text = settings.to_string();
    assert!(Adapter::default().answer(&frame_of(&[attach_record(text.len())], text.as_bytes())).is_ok());
}
