//! Stand-ins for the systems around burdocklever, and the demonstration.

mod caller;
mod demo;
mod deployment;
mod fabric;
mod measure;
mod platform;
mod target;
mod topology;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Stand-ins for platform, fabric, targets and callers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Object API with versions, conditional writes and watches
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Sprays datagrams and connections over the entry VMs
    #[bpaf(command)]
    Fabric {
        /// Address of the platform
        #[bpaf(long, argument("ADDRESS"))]
        platform: SocketAddr,
        /// Address for fault control
        #[bpaf(long, argument("ADDRESS"))]
        control: SocketAddr,
        /// Seed of its choices
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Targets of one failure domain
    #[bpaf(command)]
    Target {
        /// Address of the platform
        #[bpaf(long, argument("ADDRESS"))]
        platform: SocketAddr,
        /// Address for fault control and the report
        #[bpaf(long, argument("ADDRESS"))]
        control: SocketAddr,
        /// Failure domain
        #[bpaf(long, argument("DOMAIN"))]
        domain: wire::DomainId,
        /// Targets, as ID/SERVICE/ADDRESS
        #[bpaf(positional("TARGET"))]
        targets: Vec<target::Spec>,
    },
    /// Callers with long flows and requests
    #[bpaf(command)]
    Caller {
        #[bpaf(external(caller::plan))]
        plan: caller::Plan,
    },
    /// Brings a whole deployment up, serves from end to end and reports
    #[bpaf(command)]
    Demo {
        #[bpaf(external(demo::options))]
        options: demo::Options,
    },
    /// Forwards datagrams and requests without any decision
    #[bpaf(command)]
    Forward {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address to forward to
        #[bpaf(long, argument("ADDRESS"))]
        to: SocketAddr,
    },
    /// Measures an entry VM against the plain forwarder
    #[bpaf(command)]
    Measure {
        /// Folder of the deployment
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("settings/gh-south")))]
        deployment: PathBuf,
    },
    /// Runs the tests that need an operating system
    #[bpaf(command)]
    Prove {
        /// Folder of the deployment
        #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("settings/gh-south")))]
        deployment: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
        Command::Platform { listen } => platform::serve(listen).await,
        Command::Fabric {
            platform,
            control,
            seed,
        } => fabric::serve(platform, control, seed).await,
        Command::Target {
            platform,
            control,
            domain,
            targets,
        } => target::serve(platform, control, domain, targets).await,
        Command::Caller { plan } => caller::run(plan).await,
        Command::Forward { listen, to } => measure::forward(listen, to).await,
        Command::Measure { deployment } => return measure::run(&deployment).await,
        Command::Demo { options } => return demo::run(options).await,
        Command::Prove { deployment } => return demo::prove(&deployment).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
