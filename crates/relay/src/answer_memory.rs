//! Limit on the memory of answers that are incomplete, which a faulty server can make arbitrarily long, or complete and not
//! yet taken by their callers, who may read nothing.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

/// Bytes of each answer that are not counted, so that long answers leave room for ordinary ones.
const UNCOUNTED_BYTES: usize = 32 * 1024;

/// Maximum counted bytes of all answers together; buffers of incomplete ones take up to twice as much. A single answer may
/// have 8 MB.
const MAX_COUNTED_BYTES: usize = 12 * 1024 * 1024;

/// Counted bytes of all answers.
#[derive(Debug, Default)]
pub(crate) struct AnswerMemory {
    counted: Cell<usize>,
}

/// The part of the memory that one answer holds; dropping returns it.
#[derive(Debug)]
pub(crate) struct AnswerShare {
    memory: Rc<AnswerMemory>,
    counted: usize,
}

/// The answers are too large together.
#[derive(Clone, Copy, Debug, Error)]
#[error("no memory left for answers")]
pub(crate) struct MemoryExhausted;

impl AnswerMemory {
    pub(crate) fn counted(&self) -> usize {
        self.counted.get()
    }
}

impl AnswerShare {
    pub(crate) fn new(memory: &Rc<AnswerMemory>) -> AnswerShare {
        AnswerShare { memory: memory.clone(), counted: 0 }
    }

    /// Records that the answer has this size now.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let total = self.memory.counted.get() - self.counted + counted;
        if counted > self.counted && total > MAX_COUNTED_BYTES {
            return Err(MemoryExhausted);
        }
        self.memory.counted.set(total);
        self.counted = counted;
        Ok(())
    }

    /// Whether it holds counted bytes.
    pub(crate) fn is_counted(&self) -> bool {
        self.counted > 0
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.memory.counted.set(self.memory.counted.get() - self.counted);
    }
}
