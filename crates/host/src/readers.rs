//! Commands that only read the store: the audit log, a proposal or the bills.

use std::time::Instant;

use foxtailhoist_config::ActRecord;
use foxtailhoist_config::AuditRecord;
use foxtailhoist_config::Proposal;
use foxtailhoist_config::audit_key;
use foxtailhoist_config::decode;
use foxtailhoist_config::proposal_key;
use foxtailhoist_journal::JournalConfig;
use foxtailhoist_journal::UsageKey;
use foxtailhoist_journal::UsageReader;
use foxtailhoist_journal::UsageReport;
use foxtailhoist_journal::UsageSum;
use foxtailhoist_model::ErrorKind;
use foxtailhoist_model::Object;
use foxtailhoist_model::Refusal;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_model::StoreResult;

use crate::EntryHost;
use crate::calls::Owner;
use crate::event::CommandId;
use crate::event::Effect;
use crate::operator::OperatorReply;
use crate::operator::UsageRow;

/// Objects in one page of a list.
const PAGE_SIZE: usize = 500;

/// A read in progress.
pub(crate) enum Reader {
    /// Reads applied changes, then proposals and approvals; the reply is sorted by time.
    Audit {
        limit: usize,
        /// Revision in force when the read starts.
        newest: u64,
        lines: Vec<LogLine>,
        /// Whether proposals and approvals are being read.
        in_acts: bool,
    },
    Proposal {
        id: String,
    },
    Usage(UsageReader),
}

/// One line of the audit log.
pub(crate) struct LogLine {
    at: std::time::SystemTime,
    text: String,
}

/// Next step of a read after a result of the store.
enum Next {
    Call(StoreOp),
    Done(Result<OperatorReply, Refusal>),
}

impl Reader {
    pub fn audit(limit: usize) -> Reader {
        Reader::Audit { limit, newest: 0, lines: Vec::new(), in_acts: false }
    }

    pub fn proposal(id: &str) -> Reader {
        Reader::Proposal { id: id.to_owned() }
    }

    /// Reads the bills, assuming that all journals have this host's numbers of shards and usage parts.
    pub fn usage(journal: &JournalConfig) -> Reader {
        Reader::Usage(UsageReader::new(journal.shard_count(), journal.usage_part_count()))
    }

    fn first_call(&self) -> Option<StoreOp> {
        match self {
            Reader::Audit { limit, newest, .. } => {
                let oldest = newest.saturating_sub(*limit as u64);
                Some(list_op("config/audit/", Some(audit_key(oldest))))
            }
            Reader::Proposal { id } => Some(StoreOp::Get { key: proposal_key(id) }),
            Reader::Usage(reader) => reader.next_op(),
        }
    }

    fn advance(&mut self, reply: StoreReply) -> Next {
        match (self, reply) {
            (Reader::Proposal { id }, StoreReply::Object(object)) => {
                Next::Done(proposal_reply(id, object))
            }
            (Reader::Audit { limit, lines, in_acts, .. }, StoreReply::Objects { objects, .. }) => {
                let full = objects.len() == PAGE_SIZE;
                let last = objects.last().map(|object| object.key.clone());
                lines.extend(objects.iter().filter_map(|object| log_line(object, *in_acts)));
                match (full, *in_acts) {
                    (true, _) => Next::Call(list_op(audit_prefix(*in_acts), last)),
                    (false, false) => {
                        *in_acts = true;
                        Next::Call(list_op(audit_prefix(true), None))
                    }
                    (false, true) => Next::Done(Ok(audit_reply(lines, *limit))),
                }
            }
            (Reader::Usage(reader), reply) => {
                reader.finish(&Ok(reply));
                match (reader.next_op(), reader.report()) {
                    (Some(op), _) => Next::Call(op),
                    (None, Some(report)) => Next::Done(Ok(usage_reply(&report))),
                    (None, None) => Next::Done(Err(unexpected_reply())),
                }
            }
            _ => Next::Done(Err(unexpected_reply())),
        }
    }
}

impl EntryHost {
    pub(crate) fn start_reader(&mut self, command: CommandId, mut reader: Reader, _now: Instant) {
        if let Reader::Audit { newest, .. } = &mut reader {
            *newest = self.configuration.as_ref().map_or(0, |configuration| configuration.revision);
        }
        let Some(op) = reader.first_call() else {
            return self.reply(command, Err(unexpected_reply()));
        };
        self.commands.readers.insert(command, reader);
        self.read(command, op);
    }

    pub(crate) fn handle_read_result(&mut self, command: CommandId, result: StoreResult) {
        let Some(reader) = self.commands.readers.get_mut(&command) else {
            return;
        };
        let next = match result {
            Ok(reply) => reader.advance(reply),
            Err(error) => {
                Next::Done(Err(Refusal::new(ErrorKind::StoreUnavailable, &error.to_string())))
            }
        };
        match next {
            Next::Call(op) => self.read(command, op),
            Next::Done(reply) => {
                self.commands.readers.remove(&command);
                self.reply(command, reply);
            }
        }
    }

    fn read(&mut self, command: CommandId, op: StoreOp) {
        let call = self.calls.open(Owner::Reader(command), 0);
        self.effects.push(Effect::Store { call, op });
    }
}

fn unexpected_reply() -> Refusal {
    Refusal::new(ErrorKind::Internal, "the store answered another call")
}

fn usage_reply(report: &UsageReport) -> OperatorReply {
    let row = |(key, sum): (UsageKey, UsageSum)| UsageRow {
        workspace: key.workspace,
        model_version: key.model_version,
        answers: sum.bills,
        prompt_tokens: sum.prompt_tokens,
        output_tokens: sum.output_tokens,
    };
    OperatorReply::Usage { rows: report.total().into_iter().map(row).collect() }
}

fn list_op(prefix: &str, after: Option<String>) -> StoreOp {
    StoreOp::List { prefix: prefix.to_owned(), after, limit: PAGE_SIZE }
}

fn audit_prefix(acts: bool) -> &'static str {
    if acts { "config/audit-acts/" } else { "config/audit/" }
}

fn proposal_reply(id: &str, object: Option<Object>) -> Result<OperatorReply, Refusal> {
    let unknown = || Refusal::new(ErrorKind::NotFound, &format!("there is no proposal '{id}'"));
    let object = object.ok_or_else(unknown)?;
    let proposal: Proposal =
        decode(&object.value).map_err(|e| Refusal::new(ErrorKind::Internal, &e))?;
    let head = format!(
        "proposal {} by {} on revision {}: {} ({:?})",
        proposal.id, proposal.operator, proposal.base_revision, proposal.why, proposal.state
    );
    let lines = [head].into_iter().chain(proposal.diff).collect();
    Ok(OperatorReply::Text { lines })
}

fn log_line(object: &Object, is_act: bool) -> Option<LogLine> {
    if is_act {
        let record: ActRecord = decode(&object.value).ok()?;
        let text = format!(
            "{:?} proposal {} by {}: {}",
            record.act, record.proposal, record.actor, record.why
        );
        return Some(LogLine { at: record.at, text });
    }
    let record: AuditRecord = decode(&object.value).ok()?;
    let approved =
        record.approved_by.map(|operator| format!(", approved by {operator}")).unwrap_or_default();
    let text = format!(
        "revision {}: {:?} by {}{approved}: {} [{}]",
        record.revision,
        record.act,
        record.actor,
        record.why,
        record.diff.join("; ")
    );
    Some(LogLine { at: record.at, text })
}

fn audit_reply(lines: &mut Vec<LogLine>, limit: usize) -> OperatorReply {
    lines.sort_by_key(|line| line.at);
    let skip = lines.len().saturating_sub(limit);
    let seconds = |at: std::time::SystemTime| {
        at.duration_since(std::time::UNIX_EPOCH).map_or(0, |age| age.as_secs())
    };
    let lines =
        lines.drain(skip..).map(|line| format!("{} {}", seconds(line.at), line.text)).collect();
    OperatorReply::Text { lines }
}
