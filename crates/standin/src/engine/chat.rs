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
use super::state::RunningAttempt;
use crate::http::Call;
use crate::http::Reply;
use crate::http::ReplyStream;
use crate::sync::lock;

/// Maximum generated tokens that the connection has not yet taken.
const TOKEN_BUFFER_SIZE: usize = 64;
/// Time to flush chunks before a fault breaks the stream.
const FLUSH_TIME: Duration = Duration::from_millis(20);
/// Deadline of an attempt without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// Parsed headers of an attempt.
struct AttemptHeaders {
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

/// Next event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextEvent {
    Token,
    Summary,
    End,
    Done,
}

/// Answers an attempt.
pub(crate) async fn chat_completion(
    state: &Arc<EngineState>,
    call: &Call,
    remote: SocketAddr,
) -> Result<Reply, Reply> {
    let head = read_headers(call)?;
    let request: CompletionRequest = call
        .json()
        .map_err(|refusal| with_attempt_headers(refusal, &state.faults(), head.attempt))?;
    let faults = state.faults();
    if faults.crash_on.as_ref().is_some_and(|text| request.contains(text)) {
        state.crash();
        std::future::pending::<()>().await;
    }
    let attempt = head.attempt;
    let with_headers = |reply: Reply| with_attempt_headers(reply, &faults, attempt);
    if !lock(&state.loaded).contains(&head.version) {
        return Err(with_headers(not_run("the version is not loaded")));
    }
    lock(&state.attempts).insert(head.attempt, head.resume_after);
    let Ok(granted) = timeout(head.remaining, state.batch.acquire_slot(head.priority)).await else {
        return Err(with_headers(not_run("the deadline passed in the queue")));
    };
    let slot = granted.map_err(|_full| with_headers(not_run("the queue is full")))?;
    let answer = PlannedAnswer::new(&state.spec, &faults, &head.version, &request, head.attempt);
    let run =
        RunningAttempt::start(Arc::clone(state), slot, head.attempt, answer, head.resume_after);
    state.prefill(request.prompt_tokens(), request.shared_prefix()).await;
    sleep(Duration::from_millis(faults.answer_late_ms)).await;
    if run.answer.fails {
        let failure = "the engine failed on purpose";
        return Err(with_headers(Reply::refused(StatusCode::INTERNAL_SERVER_ERROR, failure)));
    }
    if request.stream {
        return Ok(with_headers(stream_answer(run, head, remote).await));
    }
    Ok(with_headers(complete_answer(run, &head).await))
}

fn read_headers(call: &Call) -> Result<AttemptHeaders, Reply> {
    let invalid_header =
        |name| Reply::refused(StatusCode::BAD_REQUEST, &format!("{name}: not valid"));
    let attempt = call.attempt().ok_or_else(|| invalid_header(headers::ATTEMPT_ID))?;
    let version = call.header(headers::MODEL_VERSION).and_then(|text| text.parse().ok());
    let version = version.ok_or_else(|| invalid_header(headers::MODEL_VERSION))?;
    let number = |name| call.header(name).and_then(|text| text.parse::<u64>().ok());
    let priority = match call.header(headers::PRIORITY) {
        Some("urgent") => Priority::Urgent,
        Some("batch") => Priority::Batch,
        _ => Priority::Normal,
    };
    let resume_after = number(headers::RESUME_AFTER).unwrap_or_default();
    Ok(AttemptHeaders {
        attempt,
        version,
        priority,
        remaining: number(headers::DEADLINE_MS).map_or(DEFAULT_DEADLINE, Duration::from_millis),
        resume_after: u32::try_from(resume_after).unwrap_or(u32::MAX),
    })
}

async fn complete_answer(mut run: RunningAttempt, head: &AttemptHeaders) -> Reply {
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

/// Sends the response head with the first token, so that time to first byte equals time to first token.
async fn stream_answer(run: RunningAttempt, head: AttemptHeaders, remote: SocketAddr) -> Reply {
    let (tx, mut tokens) = mpsc::channel(TOKEN_BUFFER_SIZE);
    let state = Arc::clone(&run.state);
    let answer = run.answer.clone();
    let sent = run.generated;
    tokio::spawn(run.generate(tx));
    let first = tokens.recv().await;
    let token_stream = TokenStream {
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
    Reply::stream("text/event-stream", token_stream.into_stream())
}

impl TokenStream {
    fn into_stream(self) -> ReplyStream {
        stream::try_unfold(self, |mut token_stream| async move {
            let event = token_stream.next_event().await?;
            Ok(event.map(|event| (event, token_stream)))
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
                self.next = NextEvent::Done;
                STREAM_END.to_owned()
            }
            NextEvent::Done => return Ok(None),
        };
        if self.state.connections.is_silent(self.remote) {
            std::future::pending::<()>().await;
        }
        Ok(Some(Bytes::from(format!("data: {payload}\n\n"))))
    }

    async fn next_token(&mut self) -> io::Result<Option<String>> {
        let faults = self.state.faults();
        if faults.break_after.is_some_and(|limit| self.sent >= limit) {
            // Lets the chunks yielded so far be sent before the error breaks the connection.
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

/// Adds the attempt id, or a wrong one under the `crossed` fault, and the header of a leaving server.
fn with_attempt_headers(reply: Reply, faults: &EngineFaults, attempt: AttemptId) -> Reply {
    let echoed = if faults.crossed { !attempt } else { attempt };
    let reply = reply.with_header(headers::ATTEMPT_ID, &headers::attempt_id_text(echoed));
    if faults.leaving { reply.with_header(headers::SERVER_LEAVING, "1") } else { reply }
}
