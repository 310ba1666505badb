//! Runs the adapter as a process and checks its replies and its messages about malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = r#"{"allowed":{"max_retry_after_ms":2000.0,"retry_after":false,"try_limit":5},"discovery":"pushed","new_key":[1],"over_share_worth":0.1,"position":0,"report":{"fields":["spare","total"],"how":"pull"},"rules":{"cold_from":0.35,"cold_ms":14000.0,"drain_grace_ms":1000.0,"fall_ms":1000.0,"fall_multiple":2.5},"services":[{"deadline_ms":9000.0,"group":"all","late_worth":0.25,"name":"a","points":1.0,"promise_ms":1500.0,"semantics":"pure","window_ms":5000.0}],"siblings":3,"specifics":{"allowed_pools":[],"clear_wait_ms":500.0,"here":0,"layout":"meshed","mean_hold_ms":[11100.0],"resend_ms":0.0},"tenants":[],"tick_ms":5.0}"#;

/// The first batch: starts instance 3, gives it a list of two exchanges, `own` and `other`, and reports free circuits
/// to `other`.
fn first_batch() -> String {
    format!(
        "MARK at_time_ms=5000\nTARGET_INSTANCE i=3\nPOWER_ON prng=7 info={INFO}\n\
         DEFINE_LIST page=0 lines=2\n\
         M phase=in_service weight=1 az=0 machine=0 place_no=0 exchange=own\n\
         M phase=in_service weight=1 az=0 machine=0 place_no=1 exchange=other colour=red\n\
         FLEET form=disk seq_no=1 page=0\n\
         PROBE_DONE rtt_ms=0 rc=OK exchange=other feedback=spare:9,total:9\nEOF_BATCH\n"
    )
}

/// Runs the adapter on this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_slateshed-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // Writing may fail, since the adapter exits at a malformed line without reading the rest.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

/// Checks that the adapter exits with an error at this batch, and prints one line that contains the expected texts.
fn assert_rejected(batch: &str, expected_texts: &[&str]) {
    let out = run_adapter(&format!("{}MARK at_time_ms=5005\n{batch}\nEOF_BATCH\n", first_batch()));
    let stderr = String::from_utf8(out.stderr).expect("standard error is UTF-8");
    assert!(!out.status.success(), "{batch} was accepted");
    assert_eq!(stderr.lines().count(), 1, "the message is not one line: {stderr}");
    assert!(!stderr.contains("panicked"), "the adapter panicked: {stderr}");
    for text in expected_texts {
        assert!(stderr.contains(text), "{stderr} does not contain {text}");
    }
}

#[test]
fn call_is_set_up_and_adapter_exits_at_end_of_input() {
    let call = "MARK at_time_ms=5005.0\nTARGET_INSTANCE i=3\n\
        JOB_IN tid=9 priority=0 item=4 patience_left_ms=2700 far_end=1 channels=1 advised_route=-1 options=0 x=y\nEOF_BATCH\n";
    let out = run_adapter(&(first_batch() + call));
    assert!(out.status.success());
    let stdout = String::from_utf8(out.stdout).expect("standard output is UTF-8");
    assert_eq!(stdout, "NEXT\nAS i=3\nTRY tid=9 exchange=other cap_ms=1500\nNEXT\n");
}

/// Guards against malformed input that is accepted or causes a panic, and against error messages that don't say what
/// is wrong.
#[test]
fn malformed_input_is_reported_on_one_line() {
    let job_without_patience =
        "TARGET_INSTANCE i=3\nJOB_IN tid=9 priority=0 item=4 far_end=1 channels=1";
    assert_rejected(job_without_patience, &["JOB_IN", "patience_left_ms"]);
    assert_rejected(
        &format!("{job_without_patience} patience_left_ms=soon"),
        &["JOB_IN", "patience_left_ms"],
    );
    assert_rejected(
        &format!("{job_without_patience} patience_left_ms=-1"),
        &["JOB_IN", "patience_left_ms"],
    );
    assert_rejected("TARGET_INSTANCE i=3\nJOB_IN tid=5000000000 priority=0", &["JOB_IN", "tid"]);
    assert_rejected("TARGET_INSTANCE i=3\nGREETING", &["GREETING", "unknown"]);
    assert_rejected("TARGET_INSTANCE i=4\nLAPSED tid=1", &["LAPSED", "instance 4"]);
    assert_rejected("LAPSED tid=1", &["LAPSED", "no instance"]);
    assert_rejected("TARGET_INSTANCE i=3\nLAPSED tid", &["LAPSED", "'='"]);
    assert_rejected("TARGET_INSTANCE i=3\nFLEET form=disk seq_no=1 page=9", &["FLEET", "page"]);
    assert_rejected("TARGET_INSTANCE i=3\nPOWER_ON prng=1 info={", &["POWER_ON", "info"]);
    assert_rejected("DEFINE_LIST page=16 lines=1", &["DEFINE_LIST", "page"]);
    let zero_siblings = INFO.replace("\"siblings\":3", "\"siblings\":0");
    assert_rejected(
        &format!("TARGET_INSTANCE i=5\nPOWER_ON prng=1 info={zero_siblings}"),
        &["siblings"],
    );
}

/// Guards against input that is cut off but looks like a regular end.
#[test]
fn end_of_input_inside_a_batch_is_an_error() {
    assert!(!run_adapter("MARK at_time_ms=1\n").status.success());
    assert!(run_adapter("").status.success());
}

/// Guards against instances that share state: each of two has to reply as it would alone.
#[test]
fn two_instances_in_one_process_act_independently() {
    let second = first_batch()
        .replace("i=3", "i=4")
        .replace("MARK at_time_ms=5000\n", "")
        .replace("EOF_BATCH\n", "");
    let both = first_batch().replace("EOF_BATCH\n", "") + &second + "EOF_BATCH\n";
    let call = |i: u32| {
        format!("TARGET_INSTANCE i={i}\nJOB_IN tid=9 priority=0 item=4 patience_left_ms=2700 far_end=1 channels=1\n")
    };
    let out = run_adapter(&format!("{both}MARK at_time_ms=5005\n{}{}EOF_BATCH\n", call(3), call(4)));
    let stdout = String::from_utf8(out.stdout).expect("standard output is UTF-8");
    let reply = "TRY tid=9 exchange=other cap_ms=1500\n";
    assert_eq!(stdout, format!("NEXT\nAS i=3\n{reply}AS i=4\n{reply}NEXT\n"));
}
