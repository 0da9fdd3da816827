//! Merges the chunks of a streamed chat completion into a plain one.

use serde_json::{Map, Value, json};

/// Plain response under construction.
#[derive(Debug, Default)]
pub struct Merger {
    head: Map<String, Value>,
    choices: Vec<Choice>,
    usage: Option<Value>,
}

#[derive(Debug, Default)]
struct Choice {
    message: Map<String, Value>,
    finish_reason: Value,
}

impl Merger {
    /// Empty response.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a chunk; anything but a JSON object is ignored.
    pub fn push(&mut self, data: &[u8]) {
        let Ok(Value::Object(chunk)) = serde_json::from_slice(data) else {
            return;
        };
        for (key, value) in chunk {
            match key.as_str() {
                "choices" => self.push_choices(&value),
                "usage" if !value.is_null() => self.usage = Some(value),
                "usage" | "object" => {}
                _ => {
                    self.head.insert(key, value);
                }
            }
        }
    }

    fn push_choices(&mut self, choices: &Value) {
        for choice in choices.as_array().into_iter().flatten() {
            let index = choice["index"].as_u64().unwrap_or(0);
            let index = usize::try_from(index).unwrap_or(0).min(127);
            if self.choices.len() <= index {
                self.choices.resize_with(index + 1, Choice::default);
            }
            let merged = &mut self.choices[index];
            if !choice["finish_reason"].is_null() {
                merged.finish_reason = choice["finish_reason"].clone();
            }
            for (key, value) in choice["delta"].as_object().into_iter().flatten() {
                append(&mut merged.message, key, value);
            }
        }
    }

    /// Complete response.
    #[must_use]
    pub fn finish(self) -> Value {
        let choices: Vec<Value> = self
            .choices
            .into_iter()
            .enumerate()
            .map(|(index, choice)| {
                json!({
                    "index": index,
                    "message": choice.message,
                    "finish_reason": choice.finish_reason,
                })
            })
            .collect();
        let mut response = self.head;
        response.insert("object".into(), "chat.completion".into());
        response.insert("choices".into(), choices.into());
        if let Some(usage) = self.usage {
            response.insert("usage".into(), usage);
        }
        Value::Object(response)
    }
}

/// Appends text to existing text except for `role`; any other value replaces the existing one.
fn append(message: &mut Map<String, Value>, key: &str, value: &Value) {
    match (message.get_mut(key), value) {
        (Some(Value::String(text)), Value::String(more)) if key != "role" => text.push_str(more),
        _ => {
            message.insert(key.into(), value.clone());
        }
    }
}
