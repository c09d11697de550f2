//! Splitting of streams into complete events, wherever the byte chunks are cut.

use foxtailhoist_relay::sse::EventSplitter;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

#[test]
fn events_are_returned_complete_and_in_order() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n").expect("small"), None);
    let events = splitter.push(b"\nid: 2\ndata: b\n\nid: 3\nda").expect("small").expect("two");
    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(events.last_id, Some(2));
    assert!(!splitter.is_between_events());
    let events = splitter.push(b"ta: c\n\n").expect("small").expect("one");
    assert_eq!(events.last_id, Some(3));
    assert!(splitter.is_between_events());
}

#[rstest]
#[case::unix("id: 4\ndata: x\n\n")]
#[case::dos("id: 4\r\ndata: x\r\n\r\n")]
#[case::id_last("data: x\nid:4\n\n")]
fn both_line_endings_are_accepted(#[case] text: &str) {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(text.as_bytes()).expect("small").expect("one");
    assert_eq!(events.bytes, text);
    assert_eq!(events.last_id, Some(4));
}

#[test]
fn an_event_above_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 600 * 1024];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_the_output(cuts in vec(1_usize..20, 1..80)) {
        let text: String = (1..40).map(|id| format!("id: {id}\ndata: {}\n\n", "y".repeat(id % 9))).collect();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut last_id = None;
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, tail) = rest.split_at((*cut).min(rest.len()));
            rest = tail;
            if let Some(events) = splitter.push(chunk).expect("small") {
                out.extend_from_slice(&events.bytes);
                last_id = events.last_id.or(last_id);
            }
        }
        assert_eq!(out, text.as_bytes());
        assert_eq!(last_id, Some(39));
        assert!(splitter.is_between_events());
    }

    #[test]
    fn arbitrary_bytes_are_accepted(chunks in vec(vec(any::<u8>(), 0..64), 0..32)) {
        let mut splitter = EventSplitter::default();
        for chunk in chunks {
            assert!(splitter.push(&chunk).is_ok());
        }
    }
}
