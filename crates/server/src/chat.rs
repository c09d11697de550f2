//! Reads the fields of chat-completions bodies that routing needs.
//!
//! The body itself is forwarded to the engine unchanged. Tokens are estimated from its length: engines count them
//! exactly and the bill uses their count, while the estimate is only used for server selection.

use foxtailhoist_edge::CompletionRequest;
use foxtailhoist_edge::Message;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::PrefixHash;
use foxtailhoist_model::Refusal;
use serde::Deserialize;

/// Output tokens assumed for a request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 512;
/// Model name with which a caller leaves the choice of a model to the router.
const ANY_MODEL: &str = "auto";

/// Fields of a chat-completions body that routing needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// `None` if the choice is left to the router.
    pub model: Option<String>,
    pub streamed: bool,
    pub prompt_tokens: u32,
    pub max_output_tokens: u32,
    /// Hash of the messages before the last, computed as engines do.
    pub prefix: PrefixHash,
    /// Estimated tokens in the messages before the last.
    pub prefix_tokens: u32,
    pub user: Option<String>,
}

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    model: Option<String>,
    messages: Vec<BodyMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    user: Option<String>,
}

#[derive(Deserialize)]
struct BodyMessage {
    #[serde(default)]
    content: Content,
}

#[derive(Default, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
    #[default]
    Absent,
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

impl ChatRequest {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Refuses with [`ErrorKind::BadRequest`] if the body is not a chat-completions request.
    pub fn parse(body: &[u8]) -> Result<ChatRequest, Refusal> {
        let body: Body = serde_json::from_slice(body).map_err(|e| {
            Refusal::new(ErrorKind::BadRequest, &format!("body is not a chat completion: {e}"))
        })?;
        if body.messages.is_empty() {
            return Err(Refusal::new(ErrorKind::BadRequest, "messages must not be empty"));
        }
        let messages = body
            .messages
            .into_iter()
            .map(|message| Message { role: None, content: Some(message.content.into_text()) });
        let prompt = CompletionRequest { messages: messages.collect(), ..Default::default() };
        let prefix = prompt.shared_prefix();
        Ok(ChatRequest {
            model: body.model.filter(|model| model != ANY_MODEL),
            streamed: body.stream,
            prompt_tokens: prompt.prompt_tokens(),
            max_output_tokens: body
                .max_completion_tokens
                .or(body.max_tokens)
                .unwrap_or(DEFAULT_OUTPUT_TOKENS),
            prefix: prefix.hash,
            prefix_tokens: prefix.tokens,
            user: body.user,
        })
    }
}

impl Content {
    fn into_text(self) -> String {
        match self {
            Content::Text(text) => text,
            Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
            Content::Absent => String::new(),
        }
    }
}
