//! Applies acts to the world.

use foxtailhoist_host::event::Event;
use foxtailhoist_model::EntryHostId;
use foxtailhoist_model::RequestId;

use crate::Act;
use crate::World;
use crate::observations::RequestOutcome;

impl World {
    pub(crate) fn apply_act(&mut self, act: Act) {
        self.trace_line(format_args!("act {act:?}"));
        match act {
            Act::Kill(host) => self.kill(&host),
            Act::Restart(host) => {
                self.kill(&host);
                self.start_host(&host);
            }
            Act::Pause { host, length } => {
                let until = self.now + length.0;
                if let Some(slot) = self.hosts.get_mut(&host) {
                    slot.paused_until = Some(until);
                }
            }
            Act::Stop(host) => {
                if let Some(process) = self.process(&host) {
                    self.deliver(process, Event::Stop);
                }
            }
            Act::Cut(one, other) => self.network.cut(&one, &other),
            Act::CutPlatform(data_centre) => self.network.cut_platform(&data_centre),
            Act::Mend => self.network.heal(),
            Act::Store(fault) => {
                self.store.set_fault(fault);
                self.answer_changed_watches();
            }
            Act::Engine { server, fault } => {
                let lost = self.backends.set_fault(&server, fault, self.now);
                self.lose_attempts(lost);
            }
            Act::Spoil { model_version, unacceptable, failing } => {
                self.backends.degrade(&model_version, unacceptable, failing);
            }
            Act::Leave(server) => self.backends.leave(&server, self.now),
            Act::RatingDelay(span) => self.rating_delay = span.0,
            Act::Operator { on, order: operator_command } => {
                self.commands += 1;
                let command = self.commands;
                if let Some(process) = self.process(&on) {
                    self.deliver(process, Event::Operator { command, operator_command });
                }
            }
        }
    }

    /// Removes the process; its open requests end without an answer.
    fn kill(&mut self, id: &EntryHostId) {
        let Some(slot) = self.hosts.get_mut(id) else {
            return;
        };
        slot.host = None;
        slot.incarnation += 1;
        slot.paused_until = None;
        let of_host = |running: &crate::world::RunningAttempt| running.process.host == *id;
        let attempts: Vec<u128> = self
            .attempts
            .iter()
            .filter(|(_, running)| of_host(running))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in attempts {
            if let Some(running) = self.attempts.remove(&attempt) {
                self.backends.end_attempt(&running.server, attempt);
            }
        }
        let requests: Vec<RequestId> = self
            .observations
            .open
            .iter()
            .filter(|(_, open)| open.host == *id)
            .map(|(request, _)| *request)
            .collect();
        for request in requests {
            self.end_request(request, RequestOutcome::Lost, None);
        }
    }
}
