//! Options and arguments of the commands, with their help texts.

use std::path::PathBuf;

use argh::FromArgs;

/// A PostgreSQL proxy with session consistency.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Serve(Serve),
    Gateway(Gateway),
    Explain(Explain),
    Check(Check),
    Demo(Demo),
    Emulate(Emulate),
    Contract(Contract),
    Key(Key),
    Upstream(Upstream),
    Status(Status),
    Load(Load),
}

/// Offer load to instances on loopback and report the measurements.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// description of the run as TOML
    #[argh(option)]
    pub(crate) config: PathBuf,
    /// file for the result as JSON
    #[argh(option)]
    pub(crate) json: Option<PathBuf>,
    /// file for a plot of the answered requests, as SVG
    #[argh(option)]
    pub(crate) plot: Option<PathBuf>,
}

/// Run an instance until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// settings file
    #[argh(option)]
    pub(crate) config: PathBuf,
}

/// Run an instance of the gateway on the platform until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct Gateway {
    /// settings file; without it the platform's environment names the file
    #[argh(option)]
    pub(crate) config: Option<PathBuf>,
}

/// Show the history of one request from the logs of gateway instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the request
    #[argh(option)]
    pub(crate) request: String,
    /// log files of all instances
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Check a settings file and report every error.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings file
    #[argh(option)]
    pub(crate) config: PathBuf,
}

/// Run a platform, databases and instances on loopback to try the proxy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// stop after this number of seconds; without it, run until SIGINT or
    /// SIGTERM
    #[argh(option)]
    pub(crate) seconds: Option<u64>,
}

/// Run an emulator of the platform or of database groups.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "emulate")]
pub(crate) struct Emulate {
    #[argh(subcommand)]
    pub(crate) what: EmulateTarget,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum EmulateTarget {
    Platform(EmulatePlatform),
    Database(EmulateDatabase),
}

/// Emulate the platform's store and instance list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct EmulatePlatform {
    /// settings file of the emulator
    #[argh(option)]
    pub(crate) config: PathBuf,
}

/// Emulate the members of the databases in the settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "database")]
pub(crate) struct EmulateDatabase {
    /// settings file of the emulator
    #[argh(option)]
    pub(crate) config: PathBuf,
    /// URL of the platform at which to register the databases that it does
    /// not have yet
    #[argh(option)]
    pub(crate) platform: Option<String>,
}

/// Change and show contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub(crate) struct Contract {
    #[argh(subcommand)]
    pub(crate) action: ContractAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ContractAction {
    Put(ContractPut),
    List(ContractList),
    Show(ContractShow),
    Withdraw(ContractWithdraw),
}

/// Create or replace a contract from a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct ContractPut {
    /// URL of the platform, such as http://127.0.0.1:7300
    #[argh(option)]
    pub(crate) platform: String,
    /// contract as JSON (.json) or TOML
    #[argh(option)]
    pub(crate) file: PathBuf,
    /// version that the change is based on; 0 for a new contract
    #[argh(option)]
    pub(crate) expect: Option<u64>,
    /// do not wait until the change is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// List all contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ContractList {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show one contract with its version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ContractShow {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// name of the workspace
    #[argh(positional)]
    pub(crate) workspace: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Delete a contract.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct ContractWithdraw {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// name of the workspace
    #[argh(positional)]
    pub(crate) workspace: String,
    /// do not wait until the change is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// Issue, list and withdraw keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    #[argh(subcommand)]
    pub(crate) action: KeyAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyAction {
    Issue(KeyIssue),
    List(KeyList),
    Withdraw(KeyWithdraw),
}

/// Issue a key and print it; it cannot be shown again later.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub(crate) struct KeyIssue {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// name of the workspace
    #[argh(positional)]
    pub(crate) workspace: String,
    /// do not wait until the key is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// List keys without their secrets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct KeyList {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Withdraw a key, including for clients that are connected with it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdraw {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// id of the key, without its secret
    #[argh(positional)]
    pub(crate) id: String,
    /// do not wait until the change is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// Take a database member out of service or return it to service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub(crate) struct Upstream {
    #[argh(subcommand)]
    pub(crate) action: UpstreamAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum UpstreamAction {
    Leave(UpstreamLeave),
    Return(UpstreamReturn),
    List(UpstreamList),
}

/// Take a member out of service: it gets no new work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "leave")]
pub(crate) struct UpstreamLeave {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// name of the member
    #[argh(positional)]
    pub(crate) member: String,
    /// do not wait until the change is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// Return a member to service: it gets new work again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "return")]
pub(crate) struct UpstreamReturn {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// name of the member
    #[argh(positional)]
    pub(crate) member: String,
    /// do not wait until the change is in force on all live instances
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// List all members with their state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct UpstreamList {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show the state of all instances and databases.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// URL of the platform
    #[argh(option)]
    pub(crate) platform: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
