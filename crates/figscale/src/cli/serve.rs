//! `figscale serve`: runs an entry instance until a signal requests a planned stop.

use std::path;
use std::sync;

use figscale_types::clock;
use tokio::signal::unix;

use super::EXIT_FAILED;
use super::Failure;
use super::Outcome;
use crate::logs;
use crate::serve;
use crate::settings;

pub(super) fn run(file: &path::Path) -> Outcome {
    let settings = settings::Settings::load(file).map_err(Failure::usage)?;
    serve_until_signal(settings)
        .map(|()| String::new())
        .map_err(|error| Failure::new(EXIT_FAILED, format!("{error:#}")))
}

fn serve_until_signal(settings: settings::Settings) -> eyre::Result<()> {
    let _logger = logs::start(&settings.log)?;
    if let Some(fleet) = settings.fleet.clone() {
        let clock = sync::Arc::new(clock::SystemClock);
        return crate::fleet::serve_until_signal(settings, fleet, clock);
    }
    let signals = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Installed before the start, so that an early signal also causes a planned stop.
    let (mut terminate, mut interrupt) = signals.block_on(async {
        let terminate = unix::signal(unix::SignalKind::terminate())?;
        let interrupt = unix::signal(unix::SignalKind::interrupt())?;
        eyre::Ok((terminate, interrupt))
    })?;
    let clock = sync::Arc::new(clock::SystemClock);
    let mut instance = serve::EntryInstance::start(settings, clock)?;
    signals.block_on(async {
        tokio::select! {
            _ = terminate.recv() => (),
            _ = interrupt.recv() => (),
            () = instance.ended() => (),
        }
    });
    instance.stop();
    instance.join()
}
