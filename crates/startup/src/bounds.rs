/// Bounds that a deployment sets; what it leaves open is the product's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds {
    /// From a mark in the list to the last ask; 0: the product's own.
    pub drainMs: u64,
    /// From a plan's acknowledgement until it is in force on every node.
    pub inForceMs: u64,
    /// From the wish to stop to the end.
    pub graceMs: u64,
    /// Watch events are kept at least so long.
    pub historyMs: u64,
    /// Extra goes: so many per cent of a service's asks, and a number in each window beside.
    pub extraPercent: u64,
    pub extraWindowMs: u64,
    pub extraSlack: u64,
    pub memoryBytes: Option<u64>,
    /// Between two questions to the list.
    pub listGapMs: Option<u64>,
}
