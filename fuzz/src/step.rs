//! Steps of a case and their generators.

use bolero_generator::{driver, produce_with, TypeGenerator, ValueGenerator};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One thing that happens.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub enum Step {
    /// Some time passes, in units of 32 ms.
    Wait(u8),
    /// A caller sends a packet of a flow to a VM.
    Packet {
        /// Which flow.
        flow: u8,
        /// Which VM.
        vm: u8,
        /// The fabric sends a copy to another VM.
        copy: bool,
    },
    /// A burst of packets of several flows to all VMs.
    Burst {
        /// First flow.
        flow: u8,
    },
    /// A caller ends a flow.
    Last {
        /// Which flow.
        flow: u8,
        /// Which VM.
        vm: u8,
    },
    /// A caller sends a request that may not be repeated, with a key that a VM
    /// issued.
    Issued {
        /// Which key.
        key: u8,
        /// Which VM.
        vm: u8,
    },
    /// A caller sends a request that may not be repeated, with a key of its own.
    Made {
        /// Which key.
        key: u8,
        /// Which VM.
        vm: u8,
    },
    /// A caller sends a request that may be repeated.
    Plain {
        /// Which VM.
        vm: u8,
    },
    /// A VM dies, or a dead one starts.
    Kill {
        /// Which VM.
        vm: u8,
    },
    /// A VM freezes, or a frozen one goes on.
    Pause {
        /// Which VM.
        vm: u8,
    },
    /// A VM is told to stop, and a new life starts later.
    Stop {
        /// Which VM.
        vm: u8,
    },
    /// Packets from one failure domain to another are lost.
    Cut {
        /// The sender's.
        from: u8,
        /// The receiver's.
        to: u8,
        /// The other way too.
        both: bool,
    },
    /// A failure domain loses the platform.
    CutPlatform {
        /// Which.
        domain: u8,
    },
    /// All links work again.
    Heal,
    /// The platform goes down, becomes slow, loses answers, or recovers.
    Platform {
        /// Which of these.
        mode: u8,
    },
    /// Operators take a failure domain out, or bring it back.
    Domain {
        /// Which.
        domain: u8,
    },
    /// A target is told to leave, or comes back.
    Drain {
        /// Which.
        host: u8,
    },
    /// A target ends; later its address belongs to a target of another service.
    Reuse {
        /// Which.
        host: u8,
    },
    /// A target restarts cold without warning.
    Cold {
        /// Which.
        host: u8,
    },
    /// A target works, sheds, hangs or answers late.
    Mode {
        /// Which.
        host: u8,
        /// Which of these.
        mode: u8,
    },
}

/// Which kinds of faults a case may hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// VMs die.
    pub kills: bool,
    /// VMs freeze.
    pub pauses: bool,
    /// Links are cut.
    pub cuts: bool,
    /// The platform fails.
    pub platform: bool,
    /// Targets misbehave.
    pub targets: bool,
    /// Operators and the platform change things as planned.
    pub planned: bool,
}

impl Faults {
    /// Everything at once.
    pub const ALL: Faults = Faults {
        kills: true,
        pauses: true,
        cuts: true,
        platform: true,
        targets: true,
        planned: true,
    };

    /// Whether a step is of a kind that may happen.
    pub fn allows(&self, step: &Step) -> bool {
        match step {
            Step::Kill { .. } => self.kills,
            Step::Pause { .. } => self.pauses,
            Step::Cut { .. } | Step::CutPlatform { .. } => self.cuts,
            Step::Platform { .. } => self.platform,
            Step::Cold { .. } | Step::Mode { .. } | Step::Reuse { .. } => self.targets,
            Step::Stop { .. } | Step::Domain { .. } | Step::Drain { .. } => self.planned,
            _ => true,
        }
    }
}

/// Shortest and longest case, in steps.
const STEPS_MIN: usize = 20;
const STEPS_MAX: usize = 120;
/// Random bytes that a case may draw.
const BYTES_MAX: usize = 1 << 16;

/// The cases of a range of seeds; the same in every run.
pub fn cases(seeds: std::ops::Range<u64>) -> impl Iterator<Item = (u64, Vec<Step>)> {
    seeds.map(|seed| {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let options = driver::Options::default().with_max_len(BYTES_MAX);
        let mut driver = driver::Rng::new(rng, &options);
        let steps = produce_with::<Vec<Step>>()
            .len(STEPS_MIN..STEPS_MAX)
            .generate(&mut driver);
        (seed, steps.unwrap_or_default())
    })
}
