//! Frames: version, round trip and malformed input.

use wagtaildoor::{
    frame::{
        self,
        FrameError,
        FrameReader,
        FrameWriter, //
    },
    schema::{
        ClockStamp,
        EntryFrame,
        KeeperFrame, //
    },
};

/// A frame as written by release 0.1: version, variant 4, then the fields of the timestamp.
const PING_VECTOR: [u8; 4] = [1, 4, 7, 42];

/// The message in `PING_VECTOR`.
fn ping() -> EntryFrame {
    EntryFrame::Ping(ClockStamp {
        counter: 7,
        wall_ms: 42,
    })
}

#[test]
fn frames_of_the_last_release_are_read() {
    let frame: EntryFrame = frame::decode(&PING_VECTOR).expect("a known frame");
    assert_eq!(frame, ping());
    assert_eq!(frame::encode(&ping()).expect("a frame")[..], PING_VECTOR);
}

#[test]
fn malformed_frames_are_refused() {
    let cases: [(&str, &[u8]); 4] = [
        ("empty", &[]),
        ("unknown version", &[9, 4, 7, 42]),
        ("unknown variant", &[1, 99]),
        ("cut short", &[1, 4, 7]),
    ];
    for (name, bytes) in cases {
        let result = frame::decode::<EntryFrame>(bytes);
        assert!(result.is_err(), "{name}: {result:?}");
    }
    let version = frame::decode::<EntryFrame>(&[9, 4]);
    assert!(matches!(version, Err(FrameError::Version(9))));
}

#[tokio::test]
async fn messages_cross_a_byte_stream_in_order() {
    let (near, far) = tokio::io::duplex(16);
    let mut writer = FrameWriter::new(near);
    let sender = tokio::spawn(async move {
        for counter in 0..100 {
            let stamp = ClockStamp {
                counter,
                wall_ms: 1,
            };
            writer.send(&KeeperFrame::Pong(stamp)).await?;
        }
        Ok::<(), FrameError>(())
    });
    let mut reader = FrameReader::new(far);
    for expected in 0..100 {
        let frame = reader.next().await.expect("a frame");
        let Some(KeeperFrame::Pong(stamp)) = frame else {
            panic!("unexpected frame: {frame:?}");
        };
        assert_eq!(stamp.counter, expected);
    }
    sender.await.expect("a task").expect("all sent");
    let end = reader.next::<KeeperFrame>().await.expect("an end");
    assert_eq!(end, None);
}
