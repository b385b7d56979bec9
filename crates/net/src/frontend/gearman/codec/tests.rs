//! The codec decodes every packet that clients and workers send and encodes every packet that the
//! dispatcher sends; all other input is malformed.

use super::packet::types;
use super::*;
use bytes::{BufMut, Bytes};

/// Encodes a packet as clients and workers send it.
fn request(packet_type: u32, body: &str) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_slice(b"\0REQ");
    bytes.put_u32(packet_type);
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(body.as_bytes());
    bytes
}

fn decode(packet_type: u32, body: &str) -> Result<Packet, Malformed> {
    match Codec.decode(&mut request(packet_type, body))? {
        Some(Received::Packet(packet)) => Ok(packet),
        other => panic!("{other:?}"),
    }
}

/// Encodes a packet as the dispatcher sends it; returns its type and body.
fn encode(packet: Packet) -> (u32, String) {
    let mut bytes = BytesMut::new();
    packet.encode(&mut bytes);
    assert_eq!(bytes.split_to(4), &b"\0RES"[..]);
    let packet_type = bytes.get_u32();
    assert_eq!(bytes.get_u32() as usize, bytes.len());
    (packet_type, String::from_utf8(bytes.to_vec()).unwrap())
}

#[test]
#[allow(clippy::too_many_lines)] // one entry per packet type
fn packets_of_clients_and_workers_are_decoded() {
    let function = || "f".to_owned();
    let handle = || "h".to_owned();
    let data = || Bytes::from_static(b"a\0b");
    let submit = |background| Packet::SubmitJob {
        background,
        function: function(),
        unique_id: "u".to_owned(),
        workload: data(),
    };
    let cases = [
        (
            1,
            "f",
            Packet::CanDo {
                function: function(),
            },
        ),
        (
            23,
            "f\x0030",
            Packet::CanDo {
                function: function(),
            },
        ),
        (
            2,
            "f",
            Packet::CantDo {
                function: function(),
            },
        ),
        (3, "", Packet::ResetAbilities),
        (4, "", Packet::PreSleep),
        (7, "f\0u\0a\0b", submit(false)),
        (21, "f\0u\0a\0b", submit(false)),
        (33, "f\0u\0a\0b", submit(false)),
        (18, "f\0u\0a\0b", submit(true)),
        (32, "f\0u\0a\0b", submit(true)),
        (34, "f\0u\0a\0b", submit(true)),
        (9, "", Packet::GrabJob { with_unique: false }),
        (30, "", Packet::GrabJob { with_unique: true }),
        (
            12,
            "h\x001\x004",
            Packet::WorkStatus {
                handle: handle(),
                numerator: 1,
                denominator: 4,
            },
        ),
        (
            13,
            "h\0a\0b",
            Packet::WorkComplete {
                handle: handle(),
                data: data(),
            },
        ),
        (14, "h", Packet::WorkFail { handle: handle() }),
        (
            25,
            "h\0a\0b",
            Packet::WorkException {
                handle: handle(),
                data: data(),
            },
        ),
        (
            28,
            "h\0a\0b",
            Packet::WorkData {
                handle: handle(),
                data: data(),
            },
        ),
        (
            29,
            "h\0a\0b",
            Packet::WorkWarning {
                handle: handle(),
                data: data(),
            },
        ),
        (15, "h", Packet::GetStatus { handle: handle() }),
        (16, "a\0b", Packet::EchoReq { data: data() }),
        (
            22,
            "id",
            Packet::SetClientId {
                id: "id".to_owned(),
            },
        ),
        (24, "", Packet::AllYours),
        (
            26,
            "exceptions",
            Packet::OptionReq {
                option: "exceptions".to_owned(),
            },
        ),
    ];
    for (packet_type, body, expected) in cases {
        assert_eq!(
            decode(packet_type, body).unwrap(),
            expected,
            "{packet_type}"
        );
    }
}

#[test]
fn packets_of_the_dispatcher_are_encoded() {
    let handle = || "h".to_owned();
    let data = || Bytes::from_static(b"a\0b");
    let assign = |unique_id| Packet::JobAssign {
        handle: handle(),
        function: "f".to_owned(),
        unique_id,
        workload: data(),
    };
    let cases = [
        (Packet::Noop, 6, ""),
        (Packet::JobCreated { handle: handle() }, 8, "h"),
        (Packet::NoJob, 10, ""),
        (assign(None), 11, "h\0f\0a\0b"),
        (assign(Some("u".to_owned())), 31, "h\0f\0u\0a\0b"),
        (
            Packet::WorkStatus {
                handle: handle(),
                numerator: 250,
                denominator: 1_000,
            },
            12,
            "h\x00250\x001000",
        ),
        (
            Packet::WorkComplete {
                handle: handle(),
                data: data(),
            },
            13,
            "h\0a\0b",
        ),
        (Packet::WorkFail { handle: handle() }, 14, "h"),
        (
            Packet::WorkException {
                handle: handle(),
                data: data(),
            },
            25,
            "h\0a\0b",
        ),
        (
            Packet::WorkData {
                handle: handle(),
                data: data(),
            },
            28,
            "h\0a\0b",
        ),
        (
            Packet::WorkWarning {
                handle: handle(),
                data: data(),
            },
            29,
            "h\0a\0b",
        ),
        (
            Packet::StatusRes {
                handle: handle(),
                known: true,
                running: false,
                numerator: 0,
                denominator: 0,
            },
            20,
            "h\x001\x000\x000\x000",
        ),
        (Packet::EchoRes { data: data() }, 17, "a\0b"),
        (
            Packet::Error {
                code: "CODE",
                text: "a text".to_owned(),
            },
            19,
            "CODE\0a text",
        ),
        (
            Packet::OptionRes {
                option: "exceptions".to_owned(),
            },
            27,
            "exceptions",
        ),
    ];
    for (packet, packet_type, body) in cases {
        assert_eq!(encode(packet), (packet_type, body.to_owned()));
    }
}

#[test]
fn bad_arguments_and_unknown_types_are_malformed() {
    let long_name = "n".repeat(513);
    let bad_arguments = [
        (types::CAN_DO, ""),
        (types::CAN_DO, "f\0g"),
        (types::CAN_DO, "a\nb"),
        (types::CAN_DO, &long_name),
        (types::CAN_DO_TIMEOUT, "f"),
        (types::CAN_DO_TIMEOUT, "f\0soon"),
        (types::SUBMIT_JOB, "f\0u"),
        (types::SUBMIT_JOB, "\0u\0a"),
        (types::WORK_STATUS, "h\x001"),
        (types::WORK_STATUS, "h\0one\x002"),
        (types::WORK_COMPLETE, "h"),
    ];
    for (packet_type, body) in bad_arguments {
        let result = decode(packet_type, body);
        assert!(
            matches!(result, Err(Malformed::Arguments(bad)) if bad == packet_type),
            "{packet_type}, {body:?}: {result:?}"
        );
    }
    for packet_type in [0, types::NOOP, types::JOB_ASSIGN, types::ERROR, 99] {
        let result = decode(packet_type, "");
        assert!(
            matches!(result, Err(Malformed::Type(unknown)) if unknown == packet_type),
            "{packet_type}: {result:?}"
        );
    }
}

#[test]
fn input_is_decoded_once_all_of_it_has_arrived() {
    let packet = request(types::ECHO_REQ, "ab");
    let mut input = BytesMut::new();
    for &byte in &packet[..packet.len() - 1] {
        input.put_u8(byte);
        assert!(matches!(Codec.decode(&mut input), Ok(None)), "{input:?}");
    }
    input.put_u8(b'b');
    input.put_slice(b" status \n");
    let echo = Packet::EchoReq {
        data: Bytes::from_static(b"ab"),
    };
    assert_eq!(
        Codec.decode(&mut input).unwrap(),
        Some(Received::Packet(echo))
    );
    let command = Received::AdminCommand("status".to_owned());
    assert_eq!(Codec.decode(&mut input).unwrap(), Some(command));
    assert!(input.is_empty());
}

#[test]
fn input_that_is_too_long_or_of_another_protocol_is_malformed() {
    let mut header = BytesMut::from(&b"\0REQ"[..]);
    header.put_u32(types::ECHO_REQ);
    header.put_u32(MAX_BODY as u32 + 1);
    assert!(matches!(
        Codec.decode(&mut header),
        Err(Malformed::TooLong(MAX_BODY))
    ));
    let mut line = BytesMut::from(&b"x".repeat(MAX_LINE + 1)[..]);
    assert!(matches!(
        Codec.decode(&mut line),
        Err(Malformed::TooLong(MAX_LINE))
    ));
    for bytes in [&b"\0RES"[..], b"\0X", b"\xff\n"] {
        let mut input = BytesMut::from(bytes);
        assert!(
            matches!(Codec.decode(&mut input), Err(Malformed::Magic)),
            "{bytes:?}"
        );
    }
}
