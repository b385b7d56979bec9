//! Streams that are divided into frames at arbitrary positions.

use super::*;

/// Decodes a stream in frames of this length; returns the messages and the incomplete rest.
fn decode(stream: &[u8], frame_length: usize) -> (Vec<String>, Vec<u8>) {
    let mut decoder = MessageDecoder::default();
    let (mut messages, mut message) = (Vec::new(), Vec::new());
    for mut frame in stream.chunks(frame_length) {
        while !frame.is_empty() {
            let part = decoder.next(&mut frame);
            message.extend_from_slice(part.bytes);
            if part.is_last {
                messages.push(String::from_utf8(std::mem::take(&mut message)).unwrap());
            }
        }
    }
    (messages, message)
}

#[test]
fn messages_do_not_depend_on_how_the_stream_is_divided_into_frames() {
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
fn an_unterminated_string_does_not_extend_into_the_next_message() {
    let (messages, partial) = decode(b"{\"a\":\"x\n{\"b\":1}\n", 3);
    assert_eq!(messages, ["{\"a\":\"x\n", "{\"b\":1}", "\n"]);
    assert!(partial.is_empty());
}
