//! Commands: permissions, and outcomes under concurrent, lost and late writes.

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::support::Fault;
use crate::support::RunningCommand;
use crate::support::active;
use crate::support::apply;
use crate::support::approved_proposal;
use crate::support::configuration;
use crate::support::initialised;
use crate::support::propose;
use crate::support::run;
use crate::support::set_stage;
use crate::support::switch;
use crate::support::with_peak_queue_limit;
use crate::support::writes;
use foxtailhoist_config::ACTIVE_KEY;
use foxtailhoist_config::AuditRecord;
use foxtailhoist_config::ChangeRefusal;
use foxtailhoist_config::Command;
use foxtailhoist_config::audit_key;
use foxtailhoist_config::decode;
use foxtailhoist_model::Condition;
use foxtailhoist_model::ModelVersion;
use foxtailhoist_model::Stage;
use foxtailhoist_model::StoreOp;
use foxtailhoist_model::StoreReply;
use foxtailhoist_objects::MemoryStore;

fn audit(store: &MemoryStore, revision: u64) -> AuditRecord {
    let object = store.object(&audit_key(revision)).expect("the record exists");
    decode(&object.value).expect("the record is valid")
}

#[test]
fn an_approved_proposal_comes_into_force_with_its_audit_record() {
    let mut store = initialised();
    let proposal = approved_proposal(&mut store, with_peak_queue_limit(7), 10);
    let applied = run(&mut store, apply(&proposal), 20).expect("it is approved");
    assert_eq!(applied.revision, 2);
    let record = audit(&store, 2);
    assert_eq!(record.approved_by.as_deref(), Some("bo"));
    assert_eq!(record.diff, ["presets.peak.limits.queue: 1024 -> 7"]);
    assert_eq!(record, active(&store).change);
}

#[test]
fn a_proposal_without_approval_is_not_applied() {
    let mut store = initialised();
    let proposal = propose(&mut store, with_peak_queue_limit(7), 10);
    let refusal = run(&mut store, apply(&proposal), 20).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::NotApproved(proposal));
    assert_eq!(active(&store).revision, 1);
}

#[test]
fn the_proposer_cannot_approve() {
    let mut store = initialised();
    let proposal = propose(&mut store, with_peak_queue_limit(7), 10);
    let command = Command::Approve { operator: "anna".to_owned(), proposal: proposal.clone() };
    let refusal = run(&mut store, command, 20).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::ApprovedByProposer(proposal));
}

#[test]
fn a_refused_proposal_stays_refused() {
    let mut store = initialised();
    let proposal = propose(&mut store, with_peak_queue_limit(7), 10);
    let command = Command::Refuse {
        operator: "bo".to_owned(),
        proposal: proposal.clone(),
        why: "too small".to_owned(),
    };
    run(&mut store, command, 20).expect("anyone may refuse");
    let approve = Command::Approve { operator: "bo".to_owned(), proposal: proposal.clone() };
    let refusal = run(&mut store, approve, 21).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::ProposalRefused(proposal.clone()));
    let refusal = run(&mut store, apply(&proposal), 22).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::ProposalRefused(proposal));
}

#[test]
fn the_second_of_two_proposals_gets_a_conflict_that_shows_the_first() {
    let mut store = initialised();
    let first = approved_proposal(&mut store, with_peak_queue_limit(7), 10);
    let second = approved_proposal(&mut store, with_peak_queue_limit(8), 20);
    run(&mut store, apply(&first), 30).expect("no earlier change conflicts");
    let refusal = run(&mut store, apply(&second), 31).unwrap_err();
    let ChangeRefusal::Conflict { theirs } = refusal else { panic!("{refusal}") };
    assert_eq!(theirs.actor, "anna");
    assert_eq!(theirs.diff, ["presets.peak.limits.queue: 1024 -> 7"]);
}

#[test]
fn of_two_concurrent_operators_one_succeeds_and_the_other_sees_its_change() {
    let mut store = initialised();
    let mut anna = RunningCommand::start(switch("anna", "peak"), 1, 40);
    let mut bo = RunningCommand::start(switch("bo", "peak"), 1, 41);
    anna.run_to_active_write(&mut store);
    bo.run_to_active_write(&mut store);
    bo.finish(&mut store).expect("bo writes first");
    let refusal = anna.finish(&mut store).unwrap_err();
    let ChangeRefusal::Conflict { theirs } = refusal else { panic!("{refusal}") };
    assert_eq!(theirs.actor, "bo");
    assert_eq!(theirs.diff, [r#"preset: "ordinary" -> "peak""#]);
    assert_eq!(active(&store).revision, 2);
}

#[test]
fn a_proposal_on_other_entries_keeps_stages_set_by_a_controller() {
    let mut store = initialised();
    let proposal = approved_proposal(&mut store, with_peak_queue_limit(7), 10);
    run(&mut store, set_stage("2", Stage::Settled, 5), 20).expect("the fencing number is new");
    let applied = run(&mut store, apply(&proposal), 30).expect("the entries differ");
    assert_eq!(applied.revision, 3);
    assert_eq!(audit(&store, 3).diff, ["presets.peak.limits.queue: 1024 -> 7"]);
    assert_eq!(active(&store).controller_fencing, 5);
}

#[test]
fn a_proposal_on_an_entry_that_a_controller_changed_is_a_conflict() {
    let mut store = initialised();
    let mut proposed = configuration();
    proposed.versions.remove(&ModelVersion::new("levain", "2"));
    let proposal = approved_proposal(&mut store, proposed, 10);
    run(&mut store, set_stage("2", Stage::Settled, 5), 20).expect("the fencing number is new");
    let refusal = run(&mut store, apply(&proposal), 30).unwrap_err();
    assert!(matches!(refusal, ChangeRefusal::Conflict { .. }), "{refusal}");
}

#[test]
fn a_paused_controller_with_an_old_fencing_number_is_refused() {
    let mut store = initialised();
    let mut paused = RunningCommand::start(set_stage("2", Stage::Settled, 3), 1, 50);
    paused.run_to_active_write(&mut store);
    run(&mut store, set_stage("2", Stage::Withdrawn, 4), 51).expect("the later holder acts");
    let refusal = paused.finish(&mut store).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::Fenced { own: 3, newest: 4 });
    assert_eq!(active(&store).revision, 2);
}

#[test]
fn a_vetoed_version_takes_no_work_until_an_operator_clears_the_veto() {
    let mut store = initialised();
    let veto = Command::SetStage {
        actor: "entry-1".to_owned(),
        model_version: ModelVersion::new("levain", "2"),
        stage: Stage::Withdrawn,
        vetoed: true,
        fencing: Some(1),
        why: "bad answers".to_owned(),
    };
    run(&mut store, veto, 10).expect("a controller may veto");
    let refusal = run(&mut store, set_stage("2", Stage::Settled, 1), 11).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::Vetoed(ModelVersion::new("levain", "2")));
    let clear = Command::ClearVeto {
        operator: "bo".to_owned(),
        model_version: ModelVersion::new("levain", "2"),
        why: "rating service was wrong".to_owned(),
    };
    run(&mut store, clear, 12).expect("an operator may clear");
    run(&mut store, set_stage("2", Stage::Settled, 1), 13).expect("the veto is cleared");
}

#[rstest]
#[case::took_effect(Fault::AnswerLost)]
#[case::did_not_take_effect(Fault::Dropped)]
fn a_write_whose_answer_was_lost_is_resolved_and_applied_once(#[case] fault: Fault) {
    let mut store = initialised();
    let mut lost = false;
    let outcome =
        RunningCommand::start(switch("anna", "peak"), 1, 60).finish_with(&mut store, |op, _| {
            if writes(op, ACTIVE_KEY) && !std::mem::replace(&mut lost, true) {
                return fault;
            }
            Fault::None
        });
    let applied = outcome.expect("it is applied in the end");
    assert!(applied.answer_lost);
    assert_eq!(active(&store).revision, 2);
    assert_eq!(active(&store).change.change, applied.change);
}

#[test]
fn a_lost_answer_is_resolved_after_a_later_change() {
    let mut store = initialised();
    let mut anna = RunningCommand::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    anna.step(&mut store, Fault::AnswerLost);
    run(&mut store, switch("bo", "ordinary"), 61).expect("bo's change follows");
    let applied = anna.finish(&mut store).expect("the audit log shows it");
    assert!(applied.answer_lost);
    assert_eq!(applied.revision, 2);
    assert_eq!(active(&store).revision, 3);
}

#[test]
fn a_write_that_arrives_after_its_command_ended_cannot_undo_a_later_change() {
    let mut store = initialised();
    let mut anna = RunningCommand::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    let (_, late) = anna.call.clone().expect("the write is in flight");
    let outcome = anna.finish_with(&mut store, |_, _| Fault::Dropped);
    assert!(matches!(outcome, Err(ChangeRefusal::Unknown(_))), "{outcome:?}");
    run(&mut store, switch("bo", "peak"), 61).expect("bo is first");
    assert_eq!(store.apply(&late), Ok(StoreReply::Conflict));
    assert_eq!(active(&store).change.actor, "bo");
}

#[test]
fn a_command_is_not_applied_while_the_store_is_unreachable() {
    let mut store = initialised();
    let outcome =
        RunningCommand::start(switch("anna", "peak"), 1, 60).finish_with(&mut store, |_, call| {
            if call >= 1 { Fault::Unavailable } else { Fault::None }
        });
    assert_eq!(outcome, Err(ChangeRefusal::StoreUnavailable));
    assert_eq!(active(&store).revision, 1);
}

#[test]
fn a_stale_read_is_retried() {
    let mut store = initialised();
    let stale = store.clone();
    run(&mut store, switch("bo", "peak"), 61).expect("nothing else happens");
    let mut anna = RunningCommand::start(switch("anna", "ordinary"), 2, 62);
    anna.step(&mut stale.clone(), Fault::None);
    let applied = anna.finish(&mut store).expect("the second read is current");
    assert_eq!(applied.revision, 3);
}

#[test]
fn a_store_that_fell_back_accepts_no_change_until_it_is_restored() {
    let mut store = initialised();
    let before = store.clone();
    run(&mut store, switch("bo", "peak"), 61).expect("nothing else happens");
    let mut in_force = configuration();
    in_force.revision = 2;
    in_force.preset = "peak".to_owned();
    let mut store = before;
    let refusal =
        RunningCommand::start(switch("anna", "ordinary"), 2, 62).finish(&mut store).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::StoreFellBack { store: 1, known: 2 });
    let restore = Command::Restore {
        operator: "anna".to_owned(),
        why: "the store was restored from a copy".to_owned(),
        configuration: in_force,
    };
    let applied = RunningCommand::start(restore, 2, 63).finish(&mut store).expect("it fell back");
    assert_eq!(applied.revision, 3);
    assert_eq!(active(&store).preset, "peak");
}

#[test]
fn each_change_writes_the_audit_record_of_the_previous_change() {
    let mut store = initialised();
    let mut anna = RunningCommand::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    anna.step(&mut store, Fault::None);
    // The host stops here, before it writes the audit record of revision 2.
    assert!(store.object(&audit_key(2)).is_none());
    run(&mut store, switch("bo", "ordinary"), 61).expect("nothing else happens");
    assert_eq!(audit(&store, 2).actor, "anna");
}

#[test]
fn an_applied_proposal_is_not_applied_twice() {
    let mut store = initialised();
    let proposal = approved_proposal(&mut store, with_peak_queue_limit(7), 10);
    let first = run(&mut store, apply(&proposal), 20).expect("it is approved");
    let second = run(&mut store, apply(&proposal), 21).expect("it is in force");
    assert_eq!(first.change, second.change);
    assert_eq!(active(&store).revision, 2);
}

#[test]
fn a_damaged_body_is_refused() {
    let mut store = initialised();
    let key = foxtailhoist_config::body_key(&active(&store).digest);
    let value = bytes::Bytes::from_static(b"{}");
    store.apply(&StoreOp::Put { key, value, condition: Condition::Any }).expect("unconditional");
    let refusal = run(&mut store, switch("anna", "peak"), 60).unwrap_err();
    assert!(matches!(refusal, ChangeRefusal::Damaged(..)), "{refusal}");
}

#[test]
fn an_unknown_preset_is_refused() {
    let mut store = initialised();
    let refusal = run(&mut store, switch("anna", "holiday"), 60).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::UnknownPreset("holiday".to_owned()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Operators and a controller run concurrently against a store that loses calls and answers.
    #[test]
    fn reported_outcomes_match_the_store(
        order in proptest::collection::vec((0_usize..4, any::<u8>()), 40..120),
    ) {
        let mut store = initialised();
        let proposal = approved_proposal(&mut store, with_peak_queue_limit(7), 10);
        let commands = [
            switch("anna", "peak"),
            switch("bo", "peak"),
            set_stage("2", Stage::Settled, 3),
            apply(&proposal),
        ];
        let mut running: Vec<RunningCommand> = (70_u64..)
            .zip(commands)
            .map(|(seed, command)| RunningCommand::start(command, 1, seed))
            .collect();
        for (index, dice) in order {
            let fault = match dice {
                0..=29 => Fault::AnswerLost,
                30..=49 => Fault::Dropped,
                50..=69 => Fault::Unavailable,
                _ => Fault::None,
            };
            if running[index].outcome.is_none() {
                running[index].step(&mut store, fault);
            }
        }
        for command in &mut running {
            if command.outcome.is_none() {
                let _ = command.finish(&mut store);
            }
        }
        // One more change writes the audit record of the last one.
        run(&mut store, set_stage("1", Stage::Settled, 9), 99).expect("no other command runs");
        let newest = active(&store).revision;
        let records: Vec<AuditRecord> = (1..newest).map(|at| audit(&store, at)).collect();
        for command in &running {
            let recorded = records.iter().any(|record| &record.change == command.change.id());
            match command.outcome.as_ref().expect("all are finished") {
                Ok(_) => assert!(recorded),
                Err(ChangeRefusal::Unknown(_)) => {}
                Err(_) => assert!(!recorded),
            }
        }
    }
}
