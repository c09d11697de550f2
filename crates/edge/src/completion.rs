//! The part of the chat-completions convention that the router reads.
//!
//! Fields beyond these pass through unread. `confidence` is the engine's own, an addition to the convention.

use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Usage;
use foxtailhoist_model::stable_hash;
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

/// Part of a chat completion's request that the router and the stand-in engines read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    pub model: String,
    pub messages: Vec<Message>,
    pub stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// The part of a prompt that requests are likely to share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPrefix {
    pub hash: PrefixHash,
    pub tokens: u32,
}

/// Bytes of text to a token, on average.
const BYTES_PER_TOKEN: usize = 4;
/// Seed of the prefix hash; the same on routers and engines.
const PREFIX_SEED: u64 = 0;

/// Estimate of the tokens in a text, at least one for a text that is not empty.
#[must_use]
pub fn estimated_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

impl CompletionRequest {
    /// Estimate of the tokens in all messages.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        self.messages.iter().map(Message::tokens).fold(0, u32::saturating_add)
    }

    /// The messages before the last: the system prompt, and the turns that a session repeats.
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

    /// Whether a text stands in any message.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        self.messages.iter().any(|message| message.text().contains(text))
    }
}

impl Message {
    /// A message with a role and a text.
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
