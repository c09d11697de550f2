//! Definitions of all flags with their help texts.

use getopts::Options;

/// Definition of a flag.
pub struct FlagDef {
    pub short: &'static str,
    pub long: &'static str,
    pub value: FlagValue,
    pub help: &'static str,
}

/// Whether a flag takes a value.
pub enum FlagValue {
    /// The flag is a switch without a value.
    None,
    /// The flag takes a value, shown in the help under this name.
    Named(&'static str),
}

impl FlagDef {
    pub fn register(&self, options: &mut Options) {
        match self.value {
            FlagValue::None => options.optflag(self.short, self.long, self.help),
            FlagValue::Named(name) => options.optopt(self.short, self.long, self.help, name),
        };
    }
}

pub const FLAGS: &[FlagDef] = &[
    FlagDef { short: "h", long: "help", value: FlagValue::None, help: "Print this help." },
    FlagDef { short: "V", long: "version", value: FlagValue::None, help: "Print the version." },
    FlagDef {
        short: "s",
        long: "settings",
        value: FlagValue::Named("FILE"),
        help: "Settings of the process, in YAML (serve, relay, check). Default for relay: $FOXTAILHOIST_CONFIG.",
    },
    FlagDef {
        short: "",
        long: "relay",
        value: FlagValue::Named("FILE"),
        help: "Settings of an entry host on the users' platform, in YAML (check).",
    },
    FlagDef {
        short: "c",
        long: "configuration",
        value: FlagValue::Named("FILE"),
        help: "Configuration in YAML: workspaces, models, presets (check, dev).",
    },
    FlagDef {
        short: "a",
        long: "address",
        value: FlagValue::Named("IP:PORT"),
        help: "Operator address of any entry host. Default: $FOXTAILHOIST_ADDRESS, else 127.0.0.1:7081.",
    },
    FlagDef {
        short: "",
        long: "ca",
        value: FlagValue::Named("FILE"),
        help: "CA certificate in PEM that the entry host's certificate is verified against; enables HTTPS.",
    },
    FlagDef {
        short: "k",
        long: "key-file",
        value: FlagValue::Named("FILE"),
        help: "File with the operator's key. Default: the key itself in $FOXTAILHOIST_KEY.",
    },
    FlagDef {
        short: "w",
        long: "why",
        value: FlagValue::Named("TEXT"),
        help: "Reason for a change; kept in the audit log. Required by every command that changes something.",
    },
    FlagDef {
        short: "n",
        long: "limit",
        value: FlagValue::Named("N"),
        help: "Maximum number of audit records to print (config log). Default: 20.",
    },
    FlagDef {
        short: "",
        long: "json",
        value: FlagValue::None,
        help: "Print JSON instead of text.",
    },
    FlagDef {
        short: "",
        long: "html",
        value: FlagValue::None,
        help: "Print one HTML page (report burn).",
    },
    FlagDef {
        short: "",
        long: "hosts",
        value: FlagValue::Named("N"),
        help: "Entry hosts to start, over three data centres (dev). Default: 6.",
    },
    FlagDef {
        short: "",
        long: "port",
        value: FlagValue::Named("PORT"),
        help: "First port of the entry hosts; 0 selects free ports (dev). Default: 7080.",
    },
    FlagDef {
        short: "",
        long: "seed",
        value: FlagValue::Named("N"),
        help: "Seed of the random generator (dev, measure). Default: 1.",
    },
    FlagDef {
        short: "",
        long: "steps",
        value: FlagValue::Named("N"),
        help: "Steps of the random run (measure soak). Default: 100000.",
    },
    FlagDef {
        short: "",
        long: "minutes",
        value: FlagValue::Named("N"),
        help: "Simulated minutes of each run (measure policy). Default: 30.",
    },
    FlagDef {
        short: "",
        long: "seeds",
        value: FlagValue::Named("N"),
        help: "Number of seeds, counted up from --seed (measure policy). Default: 3.",
    },
    FlagDef {
        short: "",
        long: "workload",
        value: FlagValue::Named("FILE"),
        help: "Workloads of the stand-ins, in YAML (measure policy). Default: the one built in.",
    },
];
