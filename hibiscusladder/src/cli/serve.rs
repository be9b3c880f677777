//! `serve`: runs an instance of the proxy.

use async_signal::{Signal, Signals};
use futures::StreamExt;
use hibiscusladder_proxy::{
    serve::{self, Listeners},
    settings::Settings,
};

use super::{args::Serve, error::CliError, log};

/// Runs the instance until SIGTERM or SIGINT.
pub(crate) fn run(args: &Serve) -> Result<(), CliError> {
    let settings = Settings::load(&args.config)?;
    log::init(settings.log);
    let listeners = Listeners::bind(&settings)?;
    smol::block_on(async {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(serve::run(settings, listeners, first_signal(signals)).await?)
    })
}

/// Completes at the first signal.
pub(crate) async fn first_signal(mut signals: Signals) {
    signals.next().await;
}
