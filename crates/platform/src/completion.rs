//! The part of the chat-completions convention that the router reads.
//!
//! Fields beyond these pass through unread. `confidence` is the engine's own, an addition to the convention.

use foxtailhoist_model::Usage;
use serde::Deserialize;
use serde::Serialize;

/// Payload of the event that ends a streamed answer.
pub const STREAM_END: &str = "[DONE]";

/// Whole answer to a chat completion.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    pub id: String,
    pub object: String,
    pub model: String,
    pub choices: Vec<Choice>,
    pub usage: Option<CompletionUsage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confidence: Option<f64>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    pub id: String,
    pub object: String,
    pub model: String,
    pub choices: Vec<ChunkChoice>,
    /// Tokens so far, those before a resume included.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<CompletionUsage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confidence: Option<f64>,
    /// Present when the engine failed after the answer's head.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<CompletionError>,
}

/// An alternative of a whole answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Choice {
    pub index: u32,
    pub message: Message,
    pub finish_reason: Option<String>,
}

/// A piece of an alternative.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChunkChoice {
    pub index: u32,
    pub delta: Message,
    pub finish_reason: Option<String>,
}

/// Text and who speaks it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Tokens used, in the convention's names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionUsage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
}

/// A failure that an engine reports in a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionError {
    pub message: String,
}

impl From<CompletionUsage> for Usage {
    fn from(usage: CompletionUsage) -> Usage {
        Usage { prompt_tokens: usage.prompt_tokens, output_tokens: usage.completion_tokens }
    }
}
