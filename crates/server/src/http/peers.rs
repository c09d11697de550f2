//! Handlers for requests from other entry hosts.

use std::sync::Arc;

use foxtailhoist_edge::PEER_CONTENT_TYPE;
use foxtailhoist_host::event::Event;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use salvo::handler;
use salvo::prelude::Request;
use salvo::prelude::Response;

use crate::answers;
use crate::driver::Driver;
use crate::http;

/// `POST /peer`: one message.
pub struct Message {
    pub driver: Arc<Driver>,
}

/// `GET /peer/metrics`: this host's metrics for the burn report, as MessagePack.
pub struct MetricsPage {
    pub driver: Arc<Driver>,
}

#[handler]
impl Message {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = receive(&self.driver, req).await {
            answers::refuse(res, &refusal, None);
        }
    }
}

#[handler]
impl MetricsPage {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match metrics(&self.driver, req) {
            Ok(body) => {
                answers::set_header(res, "content-type", PEER_CONTENT_TYPE);
                let _ = res.write_body(body);
            }
            Err(refusal) => answers::refuse(res, &refusal, None),
        }
    }
}

fn metrics(driver: &Driver, req: &Request) -> Result<Vec<u8>, Refusal> {
    authenticate(driver, req)?;
    driver.recorder().encoded().map_err(|e| Refusal::new(ErrorKind::Internal, &e.to_string()))
}

fn authenticate(driver: &Driver, req: &Request) -> Result<(), Refusal> {
    let key = http::header(req, "x-peer-key").unwrap_or_default();
    if driver.keys().is_peer(key) {
        return Ok(());
    }
    Err(Refusal::new(ErrorKind::Unauthenticated, "x-peer-key does not match this host's"))
}

async fn receive(driver: &Arc<Driver>, req: &mut Request) -> Result<(), Refusal> {
    authenticate(driver, req)?;
    let from = http::header(req, "x-host-id").unwrap_or_default().to_owned();
    let body = http::read_body(req, driver.limits()).await?;
    driver.handle(Event::Message { from, body });
    Ok(())
}
