//! Runs in which the controller is struck at one chosen step of a plan, member change or slot.

use crate::event::{Event, Who};
use crate::fault::Fault;
use crate::scenario::{Ended, finish, recover};
use crate::world::World;
use postbarrow_consensus::Write;

/// What the controller is about when it is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// A plan of many batches, from Begin to the commit of its End.
    Plan,
    /// A lost disk's machine learns and takes the lost one's place.
    Members,
    /// Of that, only the change of seats itself.
    Seats,
    /// A slot is written.
    Snapshot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Kill,
    Power,
    Freeze,
    Cut,
}

pub const WHATS: [What; 4] = [What::Plan, What::Members, What::Snapshot, What::Seats];
pub const HOWS: [How; 4] = [How::Kill, How::Power, How::Freeze, How::Cut];

/// The controller is struck at this one of its writes and syncs, counted from the beginning.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub seed: u64,
    pub what: What,
    pub how: How,
    pub at: u64,
}

pub(crate) struct Strike {
    what: What,
    how: How,
    left: u64,
    fuse: u64,
    hit: bool,
}

const ROUTES: u64 = 6_000;
const AWAY_US: u64 = 3_000_000;

impl Step {
    /// The run's end, or None if the controller had fewer steps to take.
    pub fn run(&self) -> Option<Ended> {
        let mut world = World::new(self.seed, 5, 12);
        world.request_pause_us = 50_000;
        world.run_until(6_000_000);
        world.quiet = true;
        let Step { what, how, at, .. } = *self;
        world.strike = Some(Strike { what, how, left: at, fuse: at, hit: false });
        match what {
            What::Plan => world.hand_over(ROUTES, false, false),
            What::Members | What::Seats => {
                let leader = world.leader().unwrap_or(0);
                world.bring(Fault::SwapCore((leader + 1) % 3));
            }
            What::Snapshot => {}
        }
        world.run_until(13_000_000);
        let hit = world.strike.take().is_some_and(|strike| strike.hit);
        world.bring(Fault::Heal);
        let mut ended = Ended { recovery_ms: recover(&mut world), ..Ended::default() };
        read_back(&mut world, &mut ended, "");
        if what == What::Plan && world.operator.acknowledged < 2 {
            ended.violations.push("the plan was never acknowledged".into());
        }
        let lost = at as usize % 3;
        world.operator.shown = None;
        world.bring(Fault::SwapCore(lost));
        recover(&mut world);
        read_back(&mut world, &mut ended, " after a disk was lost");
        finish(&mut world, &mut ended);
        hit.then_some(ended)
    }
}

pub(crate) fn read_back(world: &mut World, ended: &mut Ended, when: &str) {
    let until_us = world.now_us + 6_000_000;
    world.run_until(until_us);
    world.show();
    world.run_until(until_us + 2_000_000);
    let last = world.operator.version.as_ref().and_then(|name| world.operator.texts.get(name));
    if last.is_none() || world.operator.shown.as_ref() != last {
        ended.violations.push(format!("the plan acknowledged last does not read back{when}"));
    }
}

impl World {
    pub fn leader(&self) -> Option<usize> {
        self.control
            .iter()
            .position(|machine| machine.node.as_ref().is_some_and(|node| node.is_leading()))
    }

    /// Called at every write and sync of a control machine: strikes it if its turn has come.
    pub fn strike_at(&mut self, at: usize) {
        let Some(strike) = &self.strike else { return };
        let machine = &self.control[at];
        let Some(node) = machine.node.as_ref().filter(|node| node.is_leading()) else { return };
        let log = node.consensus();
        let seats = log.log().config_index() > log.commit_index() || log.members().len() < 3;
        let busy = match strike.what {
            What::Plan => log.commit_index() < log.last_index(),
            What::Members => seats || !log.learners().is_empty(),
            What::Seats => seats,
            What::Snapshot => machine.writes().any(|write| matches!(write, Write::Slot { .. })),
        };
        let Some(strike) = &mut self.strike else { return };
        if !busy || strike.hit {
            return;
        }
        if strike.left > 0 && strike.what != What::Snapshot {
            strike.left -= 1;
            return;
        }
        strike.hit = true;
        let (how, fuse) = (strike.how, strike.fuse);
        self.say(Who::Control(at), &format!("is struck: {how:?}"));
        match how {
            How::Kill => self.end_control(at, false),
            How::Power => self.end_with_fuse(at, fuse),
            How::Freeze => {
                self.frozen.entry(Who::Control(at)).or_default();
                self.after(AWAY_US, Event::Wake(Who::Control(at)));
            }
            How::Cut => {
                self.isolate(at);
                self.after(AWAY_US, Event::Fault(Fault::Heal));
            }
        }
        if matches!(how, How::Kill | How::Power) {
            self.after(AWAY_US, Event::Start(Who::Control(at)));
        }
    }
}
