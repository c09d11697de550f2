//! Messages of other entry hosts.

use std::sync::Arc;

use foxtailhoist_edge::PEER_CONTENT_TYPE;
use foxtailhoist_host::event::Event;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Refusal;
use salvo::handler;
use salvo::prelude::Request;
use salvo::prelude::Response;

use crate::answers;
use crate::http;
use crate::shell::Shell;

/// `POST /peer`: one message.
pub struct Message {
    pub shell: Arc<Shell>,
}

/// `GET /peer/metrics`: what this host recorded for the burn report, as MessagePack.
pub struct MetricsPage {
    pub shell: Arc<Shell>,
}

#[handler]
impl Message {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = receive(&self.shell, req).await {
            answers::refuse(res, &refusal, None);
        }
    }
}

#[handler]
impl MetricsPage {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match metrics(&self.shell, req) {
            Ok(body) => {
                answers::set(res, "content-type", PEER_CONTENT_TYPE);
                let _ = res.write_body(body);
            }
            Err(refusal) => answers::refuse(res, &refusal, None),
        }
    }
}

fn metrics(shell: &Shell, req: &Request) -> Result<Vec<u8>, Refusal> {
    authenticate(shell, req)?;
    shell.recorder().encoded().map_err(|e| Refusal::new(ErrorKind::Internal, &e.to_string()))
}

fn authenticate(shell: &Shell, req: &Request) -> Result<(), Refusal> {
    let key = http::header(req, "x-peer-key").unwrap_or_default();
    if shell.keys().is_peer(key) {
        return Ok(());
    }
    Err(Refusal::new(ErrorKind::Unauthenticated, "x-peer-key does not match this host's"))
}

async fn receive(shell: &Arc<Shell>, req: &mut Request) -> Result<(), Refusal> {
    authenticate(shell, req)?;
    let from = http::header(req, "x-host-id").unwrap_or_default().to_owned();
    let body = http::body(req, shell.limits()).await?;
    shell.handle(Event::Message { from, body });
    Ok(())
}
