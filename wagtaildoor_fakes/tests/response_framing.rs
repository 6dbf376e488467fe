//! Tests of response framing: each mode, with the input split at every byte.

use wagtaildoor_fakes::response_framing::{
    FramingMode,
    ResponseFraming, //
};

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nx-boot-id: b1\r\n\r\nbody";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\nA;x=1\r\ntwo\r\nthree\r\n0\r\nx-t: 1\r\n\r\n";
const EMPTY: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const OPEN: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody";

/// A response and what each mode makes of it.
struct FramingCase {
    input: String,
    mode: FramingMode,
    output: String,
    /// Whether the connection ends with the response.
    is_last: bool,
}

/// Passes on an input in two parts. Returns the output and whether the connection ends.
fn pass_on(case: &FramingCase, split: usize) -> (String, bool) {
    let mut framing = ResponseFraming::default();
    framing.expect_response();
    let mut output = Vec::new();
    let (first, second) = case.input.as_bytes().split_at(split);
    let is_last = framing.pass_on(first, case.mode, &mut output)
        || framing.pass_on(second, case.mode, &mut output);
    (
        String::from_utf8(output).expect("the input is text"),
        is_last,
    )
}

#[test]
fn each_mode_passes_on_its_framing() {
    let case = |input: &str, mode, output: &str, is_last| FramingCase {
        input: input.into(),
        mode,
        output: output.into(),
        is_last,
    };
    let mut cases = Vec::new();
    for input in [SIZED, CHUNKED, EMPTY, NO_CONTENT, CONTINUE, OPEN] {
        cases.push(case(input, FramingMode::Unchanged, input, false));
    }
    let both = format!("{CHUNKED}{SIZED}");
    cases.push(case(&both, FramingMode::Unchanged, &both, false));
    let closed =
        |head: &str, body: &str| format!("HTTP/1.1 {head}\r\nconnection: close\r\n\r\n{body}");
    let close = FramingMode::CloseDelimited;
    let sized = closed("200 OK\r\nx-boot-id: b1", "body");
    cases.push(case(SIZED, close, &sized, true));
    let chunked = closed("200 OK", "onetwo\r\nthree");
    cases.push(case(CHUNKED, close, &chunked, true));
    cases.push(case(EMPTY, close, &closed("404 Not Found", ""), true));
    let continued = format!("{CONTINUE}{sized}");
    cases.push(case(&format!("{CONTINUE}{SIZED}"), close, &continued, true));
    cases.push(case(OPEN, close, &closed("200 OK", "body"), false));
    let broken = CHUNKED
        .strip_suffix("0\r\nx-t: 1\r\n\r\n")
        .expect("the end");
    cases.push(case(CHUNKED, FramingMode::BrokenOff, broken, true));
    for case in cases {
        for split in 0..=case.input.len() {
            let (output, is_last) = pass_on(&case, split);
            let name = format!("{:?} {:?} split at {split}", case.mode, case.input);
            assert_eq!(output, case.output, "{name}");
            assert_eq!(is_last, case.is_last, "{name}");
        }
    }
}

#[test]
fn response_is_in_progress_until_its_last_byte() {
    for response in [SIZED, CHUNKED, EMPTY, NO_CONTENT] {
        let mut framing = ResponseFraming::default();
        assert!(!framing.is_in_progress());
        framing.expect_response();
        for &byte in response.as_bytes() {
            assert!(framing.is_in_progress(), "{response:?}");
            framing.pass_on(&[byte], FramingMode::Unchanged, &mut Vec::new());
        }
        assert!(!framing.is_in_progress(), "{response:?}");
    }
}
