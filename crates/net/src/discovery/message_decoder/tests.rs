//! Streams that are cut into frames at any byte.

use super::*;

/// The messages of a stream that is cut into frames of this length, and what is incomplete.
fn decode(stream: &[u8], frame_length: usize) -> (Vec<String>, Vec<u8>) {
    let mut decoder = MessageDecoder::default();
    let mut messages = Vec::new();
    for mut frame in stream.chunks(frame_length) {
        while let Some(message) = decoder.next(&mut frame) {
            messages.push(String::from_utf8(message).unwrap());
        }
        assert!(frame.is_empty());
    }
    (messages, decoder.partial().to_vec())
}

#[test]
fn messages_are_the_same_however_the_stream_is_cut_into_frames() {
    let stream = "{\n \"a\": [1,\n 2]}\n\n{\"b\":\"}]{[\\\"\"}[3]nonsense\n\"open\n{\"c\"";
    let expected = [
        "{\n \"a\": [1,\n 2]}",
        "\n",
        "\n",
        "{\"b\":\"}]{[\\\"\"}",
        "[3]",
        "nonsense\n",
        "\"open\n",
    ];
    for frame_length in 1..=stream.len() {
        let (messages, partial) = decode(stream.as_bytes(), frame_length);
        assert_eq!(messages, expected, "frames of {frame_length}");
        assert_eq!(partial, b"{\"c\"", "frames of {frame_length}");
    }
}

#[test]
fn a_string_that_is_open_at_the_end_of_a_line_does_not_reach_into_the_next_message() {
    let (messages, partial) = decode(b"{\"a\":\"x\n{\"b\":1}\n", 3);
    assert_eq!(messages, ["{\"a\":\"x\n", "{\"b\":1}", "\n"]);
    assert!(partial.is_empty());
}
