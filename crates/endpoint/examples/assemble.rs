//! Uses the assembler with a custom stream. Events arrive out of order, twice and with an
//! interruption; chunks are delivered once and in order.
//!
//! `cargo run -p pimento-endpoint --example assemble`

use pimento_endpoint::Assembler;
use pimento_endpoint::Fault;
use pimento_endpoint::engine::Event;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::Delta;

const WORDS: [&str; 5] = ["Keep ", "away ", "from ", "open ", "fire."];

fn event(sequence: u64) -> Event {
    let Some(word) = usize::try_from(sequence).ok().and_then(|at| WORDS.get(at)) else {
        return Event::Done { sequence };
    };
    let last = sequence == 4;
    Event::Chunk {
        sequence,
        chunk: Chunk {
            id: "chatcmpl-1".into(),
            object: "chat.completion.chunk".into(),
            created: 0,
            model: "pimento-mini@1".into(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta {
                    role: None,
                    content: Some((*word).into()),
                },
                finish_reason: last.then(|| "stop".into()),
            }],
            usage: None,
        },
    }
}

fn feed(assembler: &mut Assembler, numbers: &[u64]) -> Result<(), Fault> {
    for number in numbers {
        assembler.accept(event(*number))?;
        while let Some(chunk) = assembler.next() {
            let content = chunk.choices.into_iter().next().map(|c| c.delta.content);
            print!("{}", content.flatten().unwrap_or_default());
        }
    }
    Ok(())
}

fn main() -> Result<(), Fault> {
    let mut assembler = Assembler::new("pimento-mini@1");
    feed(&mut assembler, &[1, 0, 0, 3])?;
    let after = assembler.last_delivered();
    println!(
        "\n-- interrupted; resume after chunk {after:?}, complete: {}",
        assembler.is_complete()
    );
    feed(&mut assembler, &[2, 3, 4, 5])?;
    println!(
        "\n-- complete: {}, duplicates: {}",
        assembler.is_complete(),
        assembler.duplicates()
    );
    Ok(())
}
