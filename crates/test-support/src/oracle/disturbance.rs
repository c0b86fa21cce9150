//! What a fault disturbs, and for how long.

use std::time::Duration;

/// A kind of fault that is no planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Open connections are silent for good; new ones work.
    Silence,
    /// Open connections are reset.
    Reset,
    /// What is sent comes later.
    Delay,
    /// What is sent one way is lost.
    Cut,
    /// The store is down, slow or says nothing.
    Store,
    /// A program is told to stop and started again.
    Term,
    /// A program stands still.
    Freeze,
    /// A program is killed and started again.
    Kill,
    /// An endpoint ended and started again.
    Crash,
    /// The machine kept the oracle itself from running.
    Stall,
}

/// What of the promises a kind of fault suspends, decided once for each kind.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// Whether answers may be cut off.
    cuts: bool,
    /// Whether the time for a change of versions starts anew after it.
    link: bool,
    /// Whether what the store takes meanwhile binds nobody in time.
    store: bool,
}

impl Kind {
    /// Silent and reset connections are over in a moment: new ones work at once.
    fn terms(self) -> Terms {
        let (cuts, link, store) = match self {
            Self::Silence | Self::Reset => (true, false, false),
            Self::Freeze | Self::Kill | Self::Stall => (true, false, false),
            Self::Delay | Self::Cut | Self::Crash => (true, true, false),
            Self::Store => (true, true, true),
            Self::Term => (false, false, false),
        };
        Terms { cuts, link, store }
    }
}

/// Whom a fault disturbs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whom {
    /// All gateways and endpoints.
    All,
    /// The gateway of a number.
    Gateway(usize),
    /// The endpoint of a name, and whoever calls it.
    Endpoint(String),
}

/// A fault that was played; times are since the start of the soak.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// What it is.
    pub kind: Kind,
    /// Whom it disturbs.
    pub whom: Whom,
    /// When it struck.
    pub from: Duration,
    /// When it was over; none while it lasts.
    pub until: Option<Duration>,
}

/// A time and who is looked at in it.
#[derive(Debug, Clone, Copy)]
pub struct Window<'a> {
    /// From when on.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// The gateway that is looked at.
    pub gateway: usize,
    /// The endpoint that is looked at, if one is.
    pub endpoint: Option<&'a str>,
}

impl Disturbance {
    /// Whether it lasted at some moment of a time.
    pub fn overlaps(&self, window: &Window<'_>) -> bool {
        self.from <= window.until && self.until.is_none_or(|until| until >= window.from)
    }

    /// Whether it harmed the path to one endpoint.
    pub fn is_on_endpoint(&self) -> bool {
        matches!(self.whom, Whom::Endpoint(_))
    }

    /// Whether whoever is looked at was disturbed.
    pub fn touches(&self, window: &Window<'_>) -> bool {
        let concerned = match &self.whom {
            Whom::All => true,
            Whom::Gateway(number) => *number == window.gateway,
            Whom::Endpoint(name) => window.endpoint == Some(name),
        };
        concerned && self.overlaps(window)
    }

    /// Whether it may have cut an answer off.
    pub fn cuts(&self, window: &Window<'_>) -> bool {
        self.kind.terms().cuts && self.touches(window)
    }

    /// Whether it suspended the time for a change of versions, for anyone.
    pub fn suspends(&self, window: &Window<'_>) -> bool {
        self.kind.terms().link && self.overlaps(window)
    }

    /// Whether it made the store unstable, for anyone.
    pub fn unsettles(&self, window: &Window<'_>) -> bool {
        self.kind.terms().store && self.overlaps(window)
    }
}
