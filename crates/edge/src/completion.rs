//! The part of the chat-completions API that the router reads.
//!
//! Other fields pass through unread. `confidence` is an extension that engines add to the API.

use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Usage;
use foxtailhoist_model::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Payload of the event that ends a streamed answer.
pub const STREAM_END: &str = "[DONE]";

/// Complete response to a chat-completions request.
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

/// One event of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionChunk {
    pub id: String,
    pub object: String,
    pub model: String,
    pub choices: Vec<ChunkChoice>,
    /// Usage so far, including tokens before a resume.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<CompletionUsage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confidence: Option<f64>,
    /// Present if the engine failed after sending the response head.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<CompletionError>,
}

/// One choice of a complete response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Choice {
    pub index: u32,
    pub message: Message,
    pub finish_reason: Option<String>,
}

/// Part of one choice in a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChunkChoice {
    pub index: u32,
    pub delta: Message,
    pub finish_reason: Option<String>,
}

/// A chat message: a role and a text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token usage under the API's field names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionUsage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
}

/// Failure that an engine reports within a stream.
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

/// The part of a chat-completions request that the router and the stand-in engines read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    pub model: String,
    pub messages: Vec<Message>,
    pub stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// The part of a prompt that several requests are likely to share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrefix {
    pub hash: PrefixHash,
    pub tokens: u32,
}

/// Average number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Seed of the prefix hash; must be the same on routers and engines.
const PREFIX_SEED: u64 = 0;

/// Estimates the number of tokens in a text; at least one unless the text is empty.
#[must_use]
pub fn estimated_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

impl CompletionRequest {
    /// Estimates the number of tokens in all messages.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        self.messages.iter().map(Message::tokens).fold(0, u32::saturating_add)
    }

    /// Prefix formed by all messages before the last: the system prompt and the turns that a session repeats.
    #[must_use]
    pub fn shared_prefix(&self) -> SharedPrefix {
        let Some((_last, shared)) = self.messages.split_last() else {
            return SharedPrefix::default();
        };
        let parts: Vec<&[u8]> = shared.iter().map(|message| message.text().as_bytes()).collect();
        SharedPrefix {
            hash: stable_hash(PREFIX_SEED, &parts),
            tokens: shared.iter().map(Message::tokens).fold(0, u32::saturating_add),
        }
    }

    /// Whether any message contains `text`.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        self.messages.iter().any(|message| message.text().contains(text))
    }
}

impl Message {
    /// Creates a message with a role and a text.
    #[must_use]
    pub fn new(role: &str, text: &str) -> Message {
        Message { role: Some(role.to_owned()), content: Some(text.to_owned()) }
    }

    /// The text, empty if there is none.
    #[must_use]
    pub fn text(&self) -> &str {
        self.content.as_deref().unwrap_or_default()
    }

    fn tokens(&self) -> u32 {
        estimated_tokens(self.text())
    }
}
