//! Messages of other entry hosts.

use std::sync::Arc;

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

#[handler]
impl Message {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = receive(&self.shell, req).await {
            answers::refuse(res, &refusal, None);
        }
    }
}

async fn receive(shell: &Arc<Shell>, req: &mut Request) -> Result<(), Refusal> {
    let key = http::header(req, "x-peer-key").unwrap_or_default();
    if !shell.keys().is_peer(key) {
        return Err(Refusal::new(
            ErrorKind::Unauthenticated,
            "x-peer-key does not match this host's",
        ));
    }
    let from = http::header(req, "x-host-id").unwrap_or_default().to_owned();
    let body = http::body(req, shell.limits()).await?;
    shell.handle(Event::Message { from, body });
    Ok(())
}
