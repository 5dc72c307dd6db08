/*
Membership of a storage group that must bear the loss of one disk.

Three of four replicas are voters. An entry is acknowledged once a majority of
the voters has it. A replica may lose its disk; the next loss comes only when
the group is whole again. The voter that lost its disk does not vote: the others
agree to put a spare in its place, which first has to have all that is
committed. A retiring voter is replaced the same way, one at a time.

Elections are reduced to their effect: a majority of the voters that may vote
chooses the one of them that has most, and what it has not is lost.

Held: an acknowledged entry survives each election.
*/
// bound: 4 replicas, 3 voters, 1 entry, 3 losses of a disk, retirements and elections without limit
// broken: WIPED_VOTES
// broken: EARLY_VOTER
// broken: TWO_AT_ONCE
// broken: SMALL_QUORUM

#define REPLICAS 4

bool voter[REPLICAS];
bool has[REPLICAS];
bool wiped[REPLICAS];    /* lost its disk and was not replaced since */
bool acked;
byte losses;

#ifdef BROKEN_SMALL_QUORUM
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef BROKEN_EARLY_VOTER
#define MAY_JOIN(r) true
#else
#define MAY_JOIN(r) (!acked || has[r])
#endif

#ifdef BROKEN_WIPED_VOTES
#define MAY_VOTE(r) voter[r]
#else
#define MAY_VOTE(r) (voter[r] && !wiped[r])
#endif

#define HOLDS(r) (voter[r] && has[r])
#define HOLDERS (HOLDS(0) + HOLDS(1) + HOLDS(2) + HOLDS(3))
#define LOST(r) (voter[r] && wiped[r])
#define WHOLE (!LOST(0) && !LOST(1) && !LOST(2) && !LOST(3))

/* replace puts a replica that is no voter in the place of one that is. */
inline replace(old, new) {
  voter[old] = false;
  voter[new] = true;
  wiped[old] = false;
  has[old] = false
}

active proctype group() {
  byte a, b, c;
  voter[0] = true; voter[1] = true; voter[2] = true;
  do
  /* The entry spreads from a replica that may vote, or arrives. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: MAY_VOTE(b) && (has[b] || !acked) && !wiped[a] -> has[a] = true
       :: else
       fi;
       a = 0; b = 0
     }
  :: atomic { HOLDERS >= QUORUM -> acked = true }
  /* A voter loses its disk while the group is whole. */
  :: atomic {
       losses < 3 && WHOLE ->
       select(a : 0 .. 3);
       if
       :: voter[a] -> has[a] = false; wiped[a] = true; losses++
       :: else
       fi;
       a = 0
     }
  /* The others replace a voter that lost its disk, or one that retires. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: voter[a] && !voter[b] && (wiped[a] || WHOLE) && MAY_JOIN(b) -> replace(a, b)
       :: else
       fi;
       a = 0; b = 0
     }
#ifdef BROKEN_TWO_AT_ONCE
  /* Two voters retire in one step, in favour of one that has caught up. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3); select(c : 0 .. 3);
       if
       :: a != b && voter[a] && voter[b] && !voter[c] && WHOLE && MAY_JOIN(c) ->
          replace(a, c); replace(b, a)
       :: else
       fi;
       a = 0; b = 0; c = 0
     }
#endif
  /* An election: two voters; what neither of them has is lost. */
  :: atomic {
       select(a : 0 .. 3); select(b : 0 .. 3);
       if
       :: a != b && MAY_VOTE(a) && MAY_VOTE(b) -> assert(!acked || has[a] || has[b])
       :: else
       fi;
       a = 0; b = 0
     }
  od
}
