//! Conditional writes and lists of the in-memory store.

use bytes::Bytes;
use foxtailhoist_model::Condition;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_objects::MemoryStore;
use rstest::rstest;

fn put(store: &mut MemoryStore, value: &'static str, condition: Condition) -> StoreReply {
    let op = StoreOp::Put {
        key: "a/1".to_owned(),
        value: Bytes::from_static(value.as_bytes()),
        condition,
    };
    store.apply(&op).expect("the store accepts small values")
}

#[rstest]
#[case(Condition::Absent, StoreReply::Conflict)]
#[case(Condition::Version(1), StoreReply::Written(2))]
#[case(Condition::Version(9), StoreReply::Conflict)]
#[case(Condition::Any, StoreReply::Written(2))]
fn a_second_write_honours_its_condition(
    #[case] condition: Condition,
    #[case] expected: StoreReply,
) {
    let mut store = MemoryStore::default();
    assert_eq!(put(&mut store, "one", Condition::Absent), StoreReply::Written(1));
    assert_eq!(put(&mut store, "two", condition), expected);
}

#[test]
fn a_list_returns_pages_in_key_order() {
    let mut store = MemoryStore::default();
    for key in ["b/2", "b/1", "c/1", "b/3"] {
        let op =
            StoreOp::Put { key: key.to_owned(), value: Bytes::new(), condition: Condition::Any };
        store.apply(&op).expect("the store accepts small values");
    }
    let page = StoreOp::List { prefix: "b/".to_owned(), after: Some("b/1".to_owned()), limit: 1 };
    let StoreReply::Objects { objects, .. } = store.apply(&page).expect("a list succeeds") else {
        panic!("a list returns objects");
    };
    assert_eq!(objects.iter().map(|object| object.key.as_str()).collect::<Vec<_>>(), ["b/2"]);
}
