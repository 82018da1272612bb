//! Scenario `race`: two operators propose different changes with the same number at the same time. Also checks that
//! invalid requests are refused.

use figdeal::cli::Result;
use figdeal_control::{
    command::{Action, Answer, Command, RefusalReason},
    sign::{change_digest, change_message},
    types::{RequestId, Signature},
};
use rand::{Rng, rngs::StdRng};

use crate::{
    Report,
    cluster::{Cluster, REPLICAS, bundle},
};

/// Offset of the marks in the configurations of the second operator.
const SECOND_OPERATOR_OFFSET: u64 = 1_000_000;

pub async fn run(
    cluster: &Cluster,
    rounds: u64,
    rng: &mut StdRng,
    report: &mut Report,
) -> Result<()> {
    let mut wins = [0_u64; 2];
    for number in 1..=rounds {
        let bundles = [bundle(number)?, bundle(number + SECOND_OPERATOR_OFFSET)?];
        let commands = [0, 1].map(|o| cluster.proposal(number, &bundles[o], o, rng));
        let first = rng.random_range(0..REPLICAS);
        let second = (first + rng.random_range(1..REPLICAS)) % REPLICAS;
        let clients = [cluster.client_of(first), cluster.client_of(second)];
        let (a, b) = tokio::join!(
            retry(&clients[0], &commands[0]),
            retry(&clients[1], &commands[1])
        );
        let answers = [a?, b?];
        let digests = [0, 1].map(|o| change_digest(number, &bundles[o], &None));
        let won = |o: usize| matches!(&answers[o], Answer::Pending { digest, .. } if *digest == digests[o]);
        let Some(winner) = [0, 1].into_iter().find(|&o| won(o)) else {
            return Err(format!("round {number} has no winner: {answers:?}").into());
        };
        wins[winner] += 1;
        let author = figdeal::control_client::public_key(&cluster.keys[winner].public());
        let told = matches!(&answers[1 - winner], Answer::Refused(RefusalReason::NumberTaken { digest, author: a, .. })
            if *digest == digests[winner] && *a == author);
        report.check(told, || {
            format!("round {number}: the loser got {:?}", answers[1 - winner])
        });
        let sign = cluster.signature(number, &bundles[winner], 1 - winner, rng);
        let answer = cluster.client(rng).command(sign).await?;
        let accepted =
            matches!(&answer, Answer::Accepted { digest, .. } if *digest == digests[winner]);
        report.check(accepted, || {
            format!("round {number}: the signature got {answer:?}")
        });
    }
    report.fact("rounds", rounds);
    report.fact("wins of each operator", wins.to_vec());
    check_refusals(cluster, rounds + 1, rng, report).await
}

/// Sends a command until it is answered, at most three times with the same request id.
async fn retry(client: &figdeal::control_client::Client, command: &Command) -> Result<Answer> {
    let mut last = None;
    for _ in 0..3 {
        match client.command(command.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(e) => last = Some(e),
        }
    }
    Err(last.expect("three attempts").into())
}

async fn check_refusals(
    cluster: &Cluster,
    number: u64,
    rng: &mut StdRng,
    report: &mut Report,
) -> Result<()> {
    let new = bundle(number)?;
    let unsigned = |command: Command, signature: Option<Signature>, rng: &mut StdRng| {
        let Action::Propose {
            number,
            bundle,
            author,
            new_keys,
            ..
        } = command.action
        else {
            panic!("a proposal");
        };
        let action = Action::Propose {
            number,
            bundle,
            author,
            new_keys,
            signature,
        };
        Command {
            request: RequestId(rng.random()),
            action,
        }
    };
    let good = cluster.proposal(number, &new, 0, rng);
    let empty = unsigned(good.clone(), Some(Signature(Vec::new())), rng);
    let foreign = figdeal_config::keys::PrivateKey::generate()?;
    let forged = figdeal::control_client::sign(&foreign, &change_message(number, &new, &None));
    let forged = unsigned(good.clone(), Some(forged), rng);
    let stale = cluster.proposal(number - 1, &new, 0, rng);
    let early = cluster.signature(number, &new, 1, rng);
    for (name, command) in [
        ("unsigned", empty),
        ("signed by a foreign key", forged),
        ("stale number", stale),
        ("signature without proposal", early),
    ] {
        let answer = cluster.client(rng).command(command).await?;
        expect_refusal(name, &answer, report);
    }
    // A proposal without a signature still needs the signatures of both owners.
    let none = unsigned(good.clone(), None, rng);
    let answer = cluster.client(rng).command(none).await?;
    let missing = match &answer {
        Answer::Pending { missing, .. } => missing.len(),
        _ => 2,
    };
    report.check(missing == 2, || {
        format!("a proposal without a signature got {answer:?}")
    });
    report.fact("without signature", outcome(&answer));
    for turn in 0..2 {
        let sign = cluster.signature(number, &new, 0, rng);
        let answer = cluster.client(rng).command(sign).await?;
        let waits = matches!(&answer, Answer::Pending { missing, .. } if missing.len() == 1);
        report.check(waits, || {
            format!("signature {turn} of one owner got {answer:?}")
        });
        report.fact(&format!("signature {turn} of one owner"), outcome(&answer));
    }
    let sign = cluster.signature(number, &new, 1, rng);
    let answer = cluster.client(rng).command(sign.clone()).await?;
    report.check(matches!(answer, Answer::Accepted { .. }), || {
        format!("the second owner got {answer:?}")
    });
    let again = cluster.client(rng).command(sign.clone()).await?;
    report.check(again == answer, || format!("a resend got {again:?}"));
    // A replay has another request id.
    let replay = Command {
        request: RequestId(rng.random()),
        ..sign
    };
    let answer = cluster.client(rng).command(replay).await?;
    expect_refusal("replayed signature", &answer, report);
    let answer = cluster.client(rng).command(good).await?;
    expect_refusal("replayed proposal", &answer, report);
    let state = cluster.client(rng).read().await?;
    report.check(state.number == number && state.pending.is_none(), || {
        format!("number {} is in force after {number}", state.number)
    });
    Ok(())
}

fn outcome(answer: &Answer) -> String {
    match answer {
        Answer::Refused(refusal) => format!("refused: {refusal}"),
        Answer::Pending { missing, .. } => format!("pending, {} signatures missing", missing.len()),
        other => format!("{other:?}"),
    }
}

fn expect_refusal(name: &str, answer: &Answer, report: &mut Report) {
    report.check(matches!(answer, Answer::Refused(_)), || {
        format!("{name} got {answer:?}")
    });
    report.fact(name, outcome(answer));
}
