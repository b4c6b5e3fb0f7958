//! The scenarios by name.

/// A scenario by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    pub(super) kind: Kind,
    /// Its name on the command line.
    pub name: &'static str,
    /// Its faults, in a line.
    pub about: &'static str,
}

/// What runs for a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    ColdStart,
    Returns,
    SilentWatches,
    DiscoveryCut,
    Stopped,
    ThirdKilled,
    DurableKills,
    Drawn,
    FailingCalls,
    Mixed,
}

/// All scenarios.
pub const ALL: [Scenario; 10] = [
    Scenario {
        kind: Kind::ColdStart,
        name: "cold-start",
        about: "all start at once without a list; discovery serves in turn, 20 ms a call, and refuses after 3 s",
    },
    Scenario {
        kind: Kind::Returns,
        name: "returns",
        about: "all begin at once and cold, under load; half of the schedulers is killed again after 3 s",
    },
    Scenario {
        kind: Kind::SilentWatches,
        name: "silent-watches",
        about: "all watches fall silent at one moment, and a worker is drained right then",
    },
    Scenario {
        kind: Kind::DiscoveryCut,
        name: "discovery-cut",
        about: "discovery's answers do not reach half of the schedulers, a worker is drained, it heals",
    },
    Scenario {
        kind: Kind::Stopped,
        name: "stopped",
        about: "a scheduler is stopped for 3 s (SIGSTOP) across a drain",
    },
    Scenario {
        kind: Kind::ThirdKilled,
        name: "third-killed",
        about: "a third is killed at once under load and started again with the list it held, twice",
    },
    Scenario {
        kind: Kind::DurableKills,
        name: "durable-kills",
        about: "schedulers with durable jobs are killed, and start with a known list and without",
    },
    Scenario {
        kind: Kind::Drawn,
        name: "drawn",
        about: "settings drawn from the seed: classes, times, list form, reports, sizes; drains, kills, a reload, refused calls",
    },
    Scenario {
        kind: Kind::FailingCalls,
        name: "failing-calls",
        about: "system calls of the schedulers fail for a moment: eight rows each, drawn from the seed",
    },
    Scenario {
        kind: Kind::Mixed,
        name: "mixed",
        about: "sixteen faults of all kinds drawn from the seed: processes, ways, discovery, workers",
    },
];
