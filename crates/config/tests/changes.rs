//! Commands: who may do what, and what racing, lost and late writes lead to.

mod support;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::support::Fault;
use crate::support::Running;
use crate::support::active;
use crate::support::apply;
use crate::support::approved;
use crate::support::configuration;
use crate::support::initialised;
use crate::support::propose;
use crate::support::run;
use crate::support::set_stage;
use crate::support::switch;
use crate::support::with_queue;
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
    decode(&object.value).expect("the record is sound")
}

#[test]
fn an_approved_proposal_comes_into_force_with_its_audit_record() {
    let mut store = initialised();
    let proposal = approved(&mut store, with_queue(7), 10);
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
    let proposal = propose(&mut store, with_queue(7), 10);
    let refusal = run(&mut store, apply(&proposal), 20).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::NotApproved(proposal));
    assert_eq!(active(&store).revision, 1);
}

#[test]
fn the_proposer_cannot_approve() {
    let mut store = initialised();
    let proposal = propose(&mut store, with_queue(7), 10);
    let command = Command::Approve { operator: "anna".to_owned(), proposal: proposal.clone() };
    let refusal = run(&mut store, command, 20).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::ApprovedByProposer(proposal));
}

#[test]
fn a_refused_proposal_stays_refused() {
    let mut store = initialised();
    let proposal = propose(&mut store, with_queue(7), 10);
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
fn the_later_of_two_proposals_gets_a_conflict_that_shows_the_first() {
    let mut store = initialised();
    let first = approved(&mut store, with_queue(7), 10);
    let second = approved(&mut store, with_queue(8), 20);
    run(&mut store, apply(&first), 30).expect("nothing came before");
    let refusal = run(&mut store, apply(&second), 31).unwrap_err();
    let ChangeRefusal::Conflict { theirs } = refusal else { panic!("{refusal}") };
    assert_eq!(theirs.actor, "anna");
    assert_eq!(theirs.diff, ["presets.peak.limits.queue: 1024 -> 7"]);
}

#[test]
fn of_two_operators_that_race_one_wins_and_the_other_sees_its_change() {
    let mut store = initialised();
    let mut anna = Running::start(switch("anna", "peak"), 1, 40);
    let mut bo = Running::start(switch("bo", "peak"), 1, 41);
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
fn stages_set_by_a_controller_are_kept_under_a_proposal_on_other_entries() {
    let mut store = initialised();
    let proposal = approved(&mut store, with_queue(7), 10);
    run(&mut store, set_stage("2", Stage::Settled, 5), 20).expect("the fencing number is new");
    let applied = run(&mut store, apply(&proposal), 30).expect("the entries differ");
    assert_eq!(applied.revision, 3);
    assert_eq!(audit(&store, 3).diff, ["presets.peak.limits.queue: 1024 -> 7"]);
    assert_eq!(active(&store).controller_fencing, 5);
}

#[test]
fn a_proposal_on_the_entry_that_a_controller_changed_is_a_conflict() {
    let mut store = initialised();
    let mut proposed = configuration();
    proposed.versions.remove(&ModelVersion::new("levain", "2"));
    let proposal = approved(&mut store, proposed, 10);
    run(&mut store, set_stage("2", Stage::Settled, 5), 20).expect("the fencing number is new");
    let refusal = run(&mut store, apply(&proposal), 30).unwrap_err();
    assert!(matches!(refusal, ChangeRefusal::Conflict { .. }), "{refusal}");
}

#[test]
fn a_paused_controller_with_an_old_fencing_number_is_refused() {
    let mut store = initialised();
    let mut paused = Running::start(set_stage("2", Stage::Settled, 3), 1, 50);
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
fn a_write_without_an_answer_is_found_out_and_applied_once(#[case] fault: Fault) {
    let mut store = initialised();
    let mut lost = false;
    let outcome = Running::start(switch("anna", "peak"), 1, 60).finish_with(&mut store, |op, _| {
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
fn a_lost_answer_is_found_out_after_another_change_came_on_top() {
    let mut store = initialised();
    let mut anna = Running::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    anna.step(&mut store, Fault::AnswerLost);
    run(&mut store, switch("bo", "ordinary"), 61).expect("bo is on top of it");
    let applied = anna.finish(&mut store).expect("the audit log shows it");
    assert!(applied.answer_lost);
    assert_eq!(applied.revision, 2);
    assert_eq!(active(&store).revision, 3);
}

#[test]
fn a_write_that_arrives_after_the_command_gave_up_cannot_undo_a_later_change() {
    let mut store = initialised();
    let mut anna = Running::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    let (_, late) = anna.call.clone().expect("the write is in flight");
    let outcome = anna.finish_with(&mut store, |_, _| Fault::Dropped);
    assert!(matches!(outcome, Err(ChangeRefusal::Unknown(_))), "{outcome:?}");
    run(&mut store, switch("bo", "peak"), 61).expect("bo is first");
    assert_eq!(store.apply(&late), Ok(StoreReply::Conflict));
    assert_eq!(active(&store).change.actor, "bo");
}

#[test]
fn a_store_that_cannot_be_reached_means_not_applied() {
    let mut store = initialised();
    let outcome =
        Running::start(switch("anna", "peak"), 1, 60).finish_with(&mut store, |_, call| {
            if call >= 1 { Fault::Unavailable } else { Fault::None }
        });
    assert_eq!(outcome, Err(ChangeRefusal::StoreUnavailable));
    assert_eq!(active(&store).revision, 1);
}

#[test]
fn a_stale_read_is_read_again() {
    let mut store = initialised();
    let stale = store.clone();
    run(&mut store, switch("bo", "peak"), 61).expect("nothing else happens");
    let mut anna = Running::start(switch("anna", "ordinary"), 2, 62);
    anna.step(&mut stale.clone(), Fault::None);
    let applied = anna.finish(&mut store).expect("the second read is right");
    assert_eq!(applied.revision, 3);
}

#[test]
fn a_fallen_back_store_takes_no_change_until_it_is_restored() {
    let mut store = initialised();
    let before = store.clone();
    run(&mut store, switch("bo", "peak"), 61).expect("nothing else happens");
    let mut in_force = configuration();
    in_force.revision = 2;
    in_force.preset = "peak".to_owned();
    let mut store = before;
    let refusal = Running::start(switch("anna", "ordinary"), 2, 62).finish(&mut store).unwrap_err();
    assert_eq!(refusal, ChangeRefusal::StoreFellBack { store: 1, known: 2 });
    let restore = Command::Restore {
        operator: "anna".to_owned(),
        why: "the store was restored from a copy".to_owned(),
        configuration: in_force,
    };
    let applied = Running::start(restore, 2, 63).finish(&mut store).expect("it fell back");
    assert_eq!(applied.revision, 3);
    assert_eq!(active(&store).preset, "peak");
}

#[test]
fn each_change_makes_sure_of_the_audit_record_before_it() {
    let mut store = initialised();
    let mut anna = Running::start(switch("anna", "peak"), 1, 60);
    anna.run_to_active_write(&mut store);
    anna.step(&mut store, Fault::None);
    // The host stops here, before it writes the record of revision 2.
    assert!(store.object(&audit_key(2)).is_none());
    run(&mut store, switch("bo", "ordinary"), 61).expect("nothing else happens");
    assert_eq!(audit(&store, 2).actor, "anna");
}

#[test]
fn an_applied_proposal_is_not_applied_twice() {
    let mut store = initialised();
    let proposal = approved(&mut store, with_queue(7), 10);
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
    store.apply(&StoreOp::Put { key, value, condition: Condition::Any }).expect("it fits");
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

    /// Operators and a controller race over a store that loses calls and answers.
    #[test]
    fn what_commands_report_is_what_the_store_holds(
        order in proptest::collection::vec((0_usize..4, any::<u8>()), 40..120),
    ) {
        let mut store = initialised();
        let proposal = approved(&mut store, with_queue(7), 10);
        let commands = [
            switch("anna", "peak"),
            switch("bo", "peak"),
            set_stage("2", Stage::Settled, 3),
            apply(&proposal),
        ];
        let mut running: Vec<Running> = (70_u64..)
            .zip(commands)
            .map(|(seed, command)| Running::start(command, 1, seed))
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
        // One more change writes the record of the last one.
        run(&mut store, set_stage("1", Stage::Settled, 9), 99).expect("nobody races any more");
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
