//! Plays the scripted cases of the second review. Arguments: the case's name and its folder. Exit codes: 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run.

mod crowd;
mod engine;
mod fleet;
mod http;
mod memory;
mod models;
mod names;
mod site;
mod store;
mod targets;

use std::path::PathBuf;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins-2 CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let at_panic = folder.clone();
    std::panic::set_hook(Box::new(move |panic| {
        fleet::note(panic.to_string());
        fleet::finish(&at_panic, 2);
    }));
    match name.as_str() {
        "crowd" => crowd::run(folder, trouble),
        "targets" => targets::run(folder, trouble),
        "models" => models::run(folder, trouble),
        "names" => names::run(folder, trouble),
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    }
}
