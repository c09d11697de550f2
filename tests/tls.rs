//! TLS on the listeners of callers and operators.

mod common;

use std::path::PathBuf;

use foxtailhoist_dev::Fleet;
use foxtailhoist_dev::FleetError;
use foxtailhoist_server::TlsFiles;
use reqwest::Certificate;
use serde_json::json;

use common::callers;
use common::chat_body;
use common::operators;
use common::options;
use common::send;

/// TLS files of one test; dropping removes them.
struct TestFiles {
    directory: PathBuf,
    tls: TlsFiles,
    /// Certificate in PEM, as in the file.
    certificate: String,
}

impl TestFiles {
    fn new(name: &str) -> TestFiles {
        let directory =
            std::env::temp_dir().join(format!("foxtailhoist-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let signed = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
        let certificate = signed.cert.pem();
        let tls =
            TlsFiles { certificate: directory.join("entry.pem"), key: directory.join("entry.key") };
        std::fs::write(&tls.certificate, &certificate).unwrap();
        std::fs::write(&tls.key, signed.signing_key.serialize_pem()).unwrap();
        TestFiles { directory, tls, certificate }
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[tokio::test]
async fn callers_and_operators_are_served_over_tls_only() {
    let files = TestFiles::new("served");
    let mut options = options(2);
    options.tls = Some(files.tls.clone());
    let fleet = Fleet::start(options).await.unwrap();
    let root = Certificate::from_pem(files.certificate.as_bytes()).unwrap();
    let client = reqwest::Client::builder().tls_certs_only([root]).build().unwrap();
    let body = chat_body("Why is my starter sluggish?", 4, false);
    let page = |scheme: &str| format!("{scheme}://{}/v1/chat/completions", callers(&fleet, 0));
    let answer = send(client.post(page("https")).bearer_auth("key-baker-help").json(&body)).await;
    assert!(answer.status().is_success());
    let command = format!("https://{}/v1/operator", operators(&fleet, 1));
    let status = client.post(command).bearer_auth("key-ada").json(&json!({ "command": "status" }));
    assert!(send(status).await.status().is_success());
    let plain = client.post(page("http")).bearer_auth("key-baker-help").json(&body);
    assert!(plain.send().await.is_err(), "plain HTTP must not be answered");
    let untrusting = reqwest::Client::new().post(page("https")).json(&body);
    assert!(
        untrusting.send().await.is_err(),
        "the self-signed certificate must not be trusted by default"
    );
    fleet.close().await;
}

#[tokio::test]
async fn a_host_does_not_start_with_unusable_tls_files() {
    let files = TestFiles::new("refused");
    std::fs::write(&files.tls.key, "no key").unwrap();
    let absent = TlsFiles { key: files.directory.join("absent.key"), ..files.tls.clone() };
    for tls in [files.tls.clone(), absent] {
        let mut options = options(1);
        options.tls = Some(tls);
        let Err(FleetError::EntryHost(error)) = Fleet::start(options).await else {
            panic!("the host must not start");
        };
        assert!(error.to_string().starts_with("TLS: "), "{error}");
    }
}
