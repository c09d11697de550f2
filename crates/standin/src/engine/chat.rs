//! `POST /v1/chat/completions` of a stand-in engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhoist_edge::Choice;
use foxtailhoist_edge::ChunkChoice;
use foxtailhoist_edge::Completion;
use foxtailhoist_edge::CompletionChunk;
use foxtailhoist_edge::CompletionRequest;
use foxtailhoist_edge::Message;
use foxtailhoist_edge::STREAM_END;
use foxtailhoist_edge::headers;
use foxtailhoist_model::AttemptId;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Priority;
use futures::StreamExt;
use futures::stream;
use salvo::http::StatusCode;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::answer::PlannedAnswer;
use super::spec::EngineFaults;
use super::state::EngineState;
use super::state::Run;
use crate::http::Call;
use crate::http::Reply;
use crate::http::ReplyStream;
use crate::sync::lock;

/// Tokens that are generated ahead of what the connection has taken.
const TOKENS_AHEAD: usize = 64;
/// Time for pieces to leave before a stream is broken on purpose.
const FLUSH_TIME: Duration = Duration::from_millis(20);
/// Deadline of an attempt that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// What the headers of an attempt say.
struct AttemptHead {
    attempt: AttemptId,
    version: ModelVersion,
    priority: Priority,
    remaining: Duration,
    resume_after: u32,
}

/// A streamed answer after its first token.
struct TokenStream {
    state: Arc<EngineState>,
    remote: SocketAddr,
    version: ModelVersion,
    attempt: AttemptId,
    answer: PlannedAnswer,
    tokens: mpsc::Receiver<String>,
    first: Option<String>,
    sent: u32,
    next: NextEvent,
}

/// Event that follows in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextEvent {
    Token,
    Summary,
    End,
    Nothing,
}

/// Answers an attempt.
pub(crate) async fn complete(
    state: &Arc<EngineState>,
    call: &Call,
    remote: SocketAddr,
) -> Result<Reply, Reply> {
    let head = read_head(call)?;
    let request: CompletionRequest =
        call.json().map_err(|refusal| echoing(refusal, &state.faults(), head.attempt))?;
    let faults = state.faults();
    if faults.crash_on.as_ref().is_some_and(|text| request.contains(text)) {
        state.crash();
        std::future::pending::<()>().await;
    }
    let attempt = head.attempt;
    let mark = |reply: Reply| echoing(reply, &faults, attempt);
    if !lock(&state.loaded).contains(&head.version) {
        return Err(mark(not_run("the version is not loaded")));
    }
    lock(&state.attempts).insert(head.attempt, head.resume_after);
    let Ok(entered) = timeout(head.remaining, state.batch.enter(head.priority)).await else {
        return Err(mark(not_run("the deadline passed in the queue")));
    };
    let slot = entered.map_err(|_full| mark(not_run("the queue is full")))?;
    let answer = PlannedAnswer::new(&state.spec, &faults, &head.version, &request, head.attempt);
    let run = Run::start(Arc::clone(state), slot, head.attempt, answer, head.resume_after);
    state.prefill(request.prompt_tokens(), request.shared_prefix()).await;
    sleep(Duration::from_millis(faults.answer_late_ms)).await;
    if run.answer.fails {
        let failure = "the engine failed on purpose";
        return Err(mark(Reply::refused(StatusCode::INTERNAL_SERVER_ERROR, failure)));
    }
    if request.stream {
        return Ok(mark(stream_answer(run, head, remote).await));
    }
    Ok(mark(whole_answer(run, &head).await))
}

fn read_head(call: &Call) -> Result<AttemptHead, Reply> {
    let missing = |name| Reply::refused(StatusCode::BAD_REQUEST, &format!("{name}: not valid"));
    let attempt = call.attempt().ok_or_else(|| missing(headers::ATTEMPT_ID))?;
    let version = call.header(headers::MODEL_VERSION).and_then(|text| text.parse().ok());
    let version = version.ok_or_else(|| missing(headers::MODEL_VERSION))?;
    let number = |name| call.header(name).and_then(|text| text.parse::<u64>().ok());
    let priority = match call.header(headers::PRIORITY) {
        Some("urgent") => Priority::Urgent,
        Some("batch") => Priority::Batch,
        _ => Priority::Normal,
    };
    let resume_after = number(headers::RESUME_AFTER).unwrap_or_default();
    Ok(AttemptHead {
        attempt,
        version,
        priority,
        remaining: number(headers::DEADLINE_MS).map_or(DEFAULT_DEADLINE, Duration::from_millis),
        resume_after: u32::try_from(resume_after).unwrap_or(u32::MAX),
    })
}

async fn whole_answer(mut run: Run, head: &AttemptHead) -> Reply {
    while run.next_token().await.is_some() {}
    let message = Message::new("assistant", &run.answer.text_from(head.resume_after));
    let choice = Choice { index: 0, message, finish_reason: Some("stop".to_owned()) };
    let completion = Completion {
        id: headers::attempt_id_text(head.attempt),
        object: "chat.completion".to_owned(),
        model: head.version.to_string(),
        choices: vec![choice],
        usage: Some(run.answer.usage(run.generated)),
        confidence: Some(run.answer.confidence),
    };
    run.finish();
    Reply::json(&completion)
}

/// The head goes out with the first token, so the time to it is the time to the first token.
async fn stream_answer(run: Run, head: AttemptHead, remote: SocketAddr) -> Reply {
    let (tx, mut tokens) = mpsc::channel(TOKENS_AHEAD);
    let state = Arc::clone(&run.state);
    let answer = run.answer.clone();
    let sent = run.generated;
    tokio::spawn(run.generate(tx));
    let first = tokens.recv().await;
    let pieces = TokenStream {
        state,
        remote,
        version: head.version,
        attempt: head.attempt,
        answer,
        tokens,
        first,
        sent,
        next: NextEvent::Token,
    };
    Reply::stream("text/event-stream", pieces.into_stream())
}

impl TokenStream {
    fn into_stream(self) -> ReplyStream {
        stream::try_unfold(self, |mut pieces| async move {
            let event = pieces.next_event().await?;
            Ok(event.map(|event| (event, pieces)))
        })
        .boxed()
    }

    async fn next_event(&mut self) -> io::Result<Option<Bytes>> {
        let payload = match self.next {
            NextEvent::Token => match self.next_token().await? {
                Some(token) => self.token_chunk(token),
                None => self.summary_chunk(),
            },
            NextEvent::Summary => self.summary_chunk(),
            NextEvent::End => {
                self.next = NextEvent::Nothing;
                STREAM_END.to_owned()
            }
            NextEvent::Nothing => return Ok(None),
        };
        if self.state.connections.is_silent(self.remote) {
            std::future::pending::<()>().await;
        }
        Ok(Some(Bytes::from(format!("data: {payload}\n\n"))))
    }

    async fn next_token(&mut self) -> io::Result<Option<String>> {
        let faults = self.state.faults();
        if faults.break_after.is_some_and(|limit| self.sent >= limit) {
            // What was handed over before goes out while this waits.
            sleep(FLUSH_TIME).await;
            return Err(io::Error::other("stream broken on purpose"));
        }
        if faults.stall_after.is_some_and(|limit| self.sent >= limit) {
            std::future::pending::<()>().await;
        }
        match self.first.take() {
            Some(token) => Ok(Some(token)),
            None => Ok(self.tokens.recv().await),
        }
    }

    fn token_chunk(&mut self, token: String) -> String {
        self.sent += 1;
        if self.sent >= self.answer.output_tokens {
            self.next = NextEvent::Summary;
        }
        let delta = Message { role: None, content: Some(token) };
        self.chunk(delta, None, None)
    }

    fn summary_chunk(&mut self) -> String {
        self.next = NextEvent::End;
        let confidence = Some(self.answer.confidence);
        self.chunk(Message::default(), Some("stop".to_owned()), confidence)
    }

    fn chunk(&self, delta: Message, finish: Option<String>, confidence: Option<f64>) -> String {
        let chunk = CompletionChunk {
            id: headers::attempt_id_text(self.attempt),
            object: "chat.completion.chunk".to_owned(),
            model: self.version.to_string(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason: finish }],
            usage: Some(self.answer.usage(self.sent)),
            confidence,
            error: None,
        };
        serde_json::to_string(&chunk).expect("a chunk has text keys only")
    }
}

fn not_run(reason: &str) -> Reply {
    Reply::refused(StatusCode::SERVICE_UNAVAILABLE, reason).with_header(headers::NOT_RUN, "1")
}

/// Adds the attempt's id, or another under the fault, and the mark of leaving.
fn echoing(reply: Reply, faults: &EngineFaults, attempt: AttemptId) -> Reply {
    let echoed = if faults.crossed { !attempt } else { attempt };
    let reply = reply.with_header(headers::ATTEMPT_ID, &headers::attempt_id_text(echoed));
    if faults.leaving { reply.with_header(headers::SERVER_LEAVING, "1") } else { reply }
}
