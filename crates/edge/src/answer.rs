//! Reads an attempt's answer chunk by chunk.
//!
//! A chunk is read from the connection only when the consumer polls for it, so a slow caller applies backpressure to
//! the engine instead of filling memory. [`AttemptOutput::End`] is yielded only after the answer's own end was read:
//! the last event of a stream, or the end of a delimited body.

use bytes::Bytes;
use bytes::BytesMut;
use foxtailhoist_model::Usage;
use foxtailhoist_route::event::AnswerSummary;
use foxtailhoist_route::event::AttemptFailure;
use futures::StreamExt;
use futures::stream;
use futures::stream::BoxStream;
use reqwest::Response;
use reqwest::header::CONTENT_LENGTH;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::TRANSFER_ENCODING;
use tokio::time::timeout;

use crate::api::AttemptOutput;
use crate::call::ANSWER_LIMIT_BYTES;
use crate::completion::Completion;
use crate::completion::CompletionChunk;
use crate::completion::STREAM_END;
use crate::diagnosis::Destination;
use crate::diagnosis::Received;
use crate::headers;
use crate::sse::EventBuffer;

/// Stream of an answer's chunks and its end.
pub(crate) type OutputStream = BoxStream<'static, Result<AttemptOutput, AttemptFailure>>;

/// An answer whose head has been checked.
pub(crate) struct AnswerReader {
    response: Response,
    destination: Destination,
    leaving: bool,
    received: Received,
}

/// Parser state of a streamed answer between two events.
struct EventReader {
    answer: AnswerReader,
    events: EventBuffer,
    /// Tokens received so far, including those before a resume.
    tokens: u32,
    summary: AnswerSummary,
}

/// How far an answer has been read.
enum ReadState<T> {
    Reading(T),
    /// The complete body was yielded; only [`AttemptOutput::End`] is left.
    Ending(AnswerSummary),
    Ended,
}

impl AnswerReader {
    pub(crate) fn new(response: Response, destination: Destination) -> AnswerReader {
        let leaving = response.headers().get(headers::SERVER_LEAVING).is_some_and(|v| v == "1");
        AnswerReader { response, destination, leaving, received: Received::Nothing }
    }

    pub(crate) fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    pub(crate) fn content_type(&self) -> String {
        let header = self.response.headers().get(CONTENT_TYPE);
        header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    }

    /// Turns the answer into a stream of chunks, parsed as its content type and destination require.
    pub(crate) fn into_output(self, resume_after: u32) -> OutputStream {
        if self.content_type().starts_with("text/event-stream") {
            return self.into_events(resume_after);
        }
        if self.destination.is_engine {
            return self.into_completion();
        }
        self.into_raw()
    }

    fn into_events(mut self, resume_after: u32) -> OutputStream {
        self.received = Received::Tokens(resume_after);
        let summary = self.summary();
        let reader = EventReader {
            answer: self,
            events: EventBuffer::default(),
            tokens: resume_after,
            summary,
        };
        stream::try_unfold(ReadState::Reading(reader), |state| async move {
            let ReadState::Reading(mut reader) = state else {
                return Ok(None);
            };
            let output = reader.next_output().await?;
            let next = match output {
                AttemptOutput::Chunk { .. } => ReadState::Reading(reader),
                AttemptOutput::End(_) => ReadState::Ended,
            };
            Ok(Some((output, next)))
        })
        .boxed()
    }

    fn into_completion(self) -> OutputStream {
        stream::try_unfold(ReadState::Reading(self), |state| async move {
            match state {
                ReadState::Reading(answer) => {
                    let (bytes, summary) = answer.read_completion().await?;
                    let tokens = summary.usage.output_tokens;
                    Ok(Some((AttemptOutput::Chunk { bytes, tokens }, ReadState::Ending(summary))))
                }
                ReadState::Ending(summary) => {
                    Ok(Some((AttemptOutput::End(summary), ReadState::Ended)))
                }
                ReadState::Ended => Ok(None),
            }
        })
        .boxed()
    }

    fn into_raw(self) -> OutputStream {
        stream::try_unfold(ReadState::Reading(self), |state| async move {
            let ReadState::Reading(mut answer) = state else {
                return Ok(None);
            };
            if let Some(bytes) = answer.next_bytes().await? {
                let chunk = AttemptOutput::Chunk { bytes, tokens: 0 };
                return Ok(Some((chunk, ReadState::Reading(answer))));
            }
            if !answer.has_delimited_body() {
                return Err(AttemptFailure::ConnectionLost);
            }
            Ok(Some((AttemptOutput::End(answer.summary()), ReadState::Ended)))
        })
        .boxed()
    }

    async fn read_completion(mut self) -> Result<(Bytes, AnswerSummary), AttemptFailure> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_bytes().await? {
            if body.len() + chunk.len() > ANSWER_LIMIT_BYTES {
                return Err(AttemptFailure::ServerError);
            }
            body.extend_from_slice(&chunk);
        }
        let mut summary = self.summary();
        if summary.status == 200 {
            let completion: Completion =
                serde_json::from_slice(&body).map_err(|_| AttemptFailure::ServerError)?;
            summary.usage = completion.usage.unwrap_or_default().into();
            summary.confidence = completion.confidence;
        }
        Ok((body.freeze(), summary))
    }

    /// Reads the next bytes from the connection; `None` at the end of the body.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let idle_timeout = self.destination.pools.settings().idle_timeout();
        match timeout(idle_timeout, self.response.chunk()).await {
            Err(_) => Err(self.destination.diagnose_timeout(self.received).await),
            Ok(Err(_)) => Err(self.destination.diagnose_disconnect().await),
            Ok(Ok(chunk)) => Ok(chunk),
        }
    }

    /// Whether the end of the body can be recognised. Without a length or a transfer encoding, a broken connection
    /// looks like a normal end.
    fn has_delimited_body(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || self.status() == 204
    }

    fn summary(&self) -> AnswerSummary {
        AnswerSummary {
            status: self.status(),
            usage: Usage::default(),
            confidence: None,
            leaving: self.leaving,
        }
    }
}

impl EventReader {
    async fn next_output(&mut self) -> Result<AttemptOutput, AttemptFailure> {
        let payload = self.next_payload().await?;
        if payload == STREAM_END.as_bytes() {
            self.summary.usage.output_tokens = self.summary.usage.output_tokens.max(self.tokens);
            return Ok(AttemptOutput::End(self.summary));
        }
        let chunk: CompletionChunk =
            serde_json::from_slice(&payload).map_err(|_| AttemptFailure::ServerError)?;
        if chunk.error.is_some() {
            return Err(AttemptFailure::ServerError);
        }
        let tokens = self.count_tokens(&chunk);
        Ok(AttemptOutput::Chunk { bytes: payload, tokens })
    }

    async fn next_payload(&mut self) -> Result<Bytes, AttemptFailure> {
        loop {
            let payload =
                self.events.next_payload().map_err(|_too_long| AttemptFailure::ServerError)?;
            if let Some(payload) = payload {
                return Ok(payload);
            }
            match self.answer.next_bytes().await? {
                Some(bytes) => self.events.push(&bytes),
                None => return Err(self.answer.destination.diagnose_disconnect().await),
            }
        }
    }

    /// Updates the summary from a chunk and returns its number of tokens: the increase of the reported usage if there
    /// is one, otherwise one for a chunk with text.
    fn count_tokens(&mut self, chunk: &CompletionChunk) -> u32 {
        let before = self.tokens;
        match chunk.usage {
            Some(usage) => {
                self.summary.usage = usage.into();
                self.tokens = self.tokens.max(usage.completion_tokens);
            }
            None if has_text(chunk) => self.tokens += 1,
            None => {}
        }
        self.summary.confidence = chunk.confidence.or(self.summary.confidence);
        self.answer.received = Received::Tokens(self.tokens);
        self.tokens - before
    }
}

fn has_text(chunk: &CompletionChunk) -> bool {
    chunk.choices.iter().any(|choice| choice.delta.content.as_ref().is_some_and(|t| !t.is_empty()))
}
