//! A planned stop does not cut off running requests.

mod common;

use foxtailhoist_dev::Fleet;

use common::TIMEOUT;
use common::callers;
use common::chat;
use common::chat_body;
use common::events;
use common::eventually;
use common::fleet;
use common::refusal;
use common::send;
use common::text;

#[tokio::test]
async fn long_streams_complete_during_a_planned_stop() {
    let Fleet { deployment, mut servers } = fleet(2).await;
    let stopping = servers.remove(0);
    let address = stopping.addresses().callers;
    let body = chat_body("Why is my starter sluggish?", 400, true);
    let mut answer = send(chat(address, "baker-help", &body)).await;
    let first = answer.chunk().await.unwrap().expect("a first chunk");
    let stop = tokio::spawn(stopping.close());
    let ready = async || {
        let request = reqwest::Client::new().get(format!("http://{address}/readyz"));
        send(request).await.status().as_u16()
    };
    eventually("readiness reports the stop", async || ready().await == 503).await;
    let refused = send(chat(address, "baker-help", &chat_body("Hello?", 4, false))).await;
    assert_eq!(refusal(&refused), ("stopping".to_owned(), "not_run".to_owned()));
    assert!(!stop.is_finished(), "the host must wait for the stream");
    let body = String::from_utf8(first.to_vec()).unwrap() + &text(answer).await;
    let streamed = events(&body);
    assert!(streamed.done, "{:?}", streamed.error);
    assert_eq!(streamed.chunks, 400);
    let in_time = tokio::time::timeout(TIMEOUT, stop).await.expect("the stop completes").unwrap();
    assert!(in_time);
    let fleet = Fleet { deployment, servers };
    let answer = send(chat(callers(&fleet, 0), "baker-help", &chat_body("Hello?", 4, false))).await;
    assert!(answer.status().is_success());
    fleet.close().await;
}
