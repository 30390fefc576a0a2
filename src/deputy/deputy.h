/* The sums that an entry VM uses while no control VM leads: those of one
 * control VM that does not lead, its deputy.  Entry VMs that hear the same
 * control VMs choose the same one. */
#ifndef BR_DEPUTY_DEPUTY_H
#define BR_DEPUTY_DEPUTY_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Time without a message from a leader after which an entry VM reports that it
 * has none, in milliseconds: ten of the leader's intervals.  The leader's last
 * update on quotas is used for 1.5 s, which leaves 0.5 s for the first sums. */
#define BR_DEPUTY_LEADER_TIMEOUT_MS 1000

/* A control VM that offered sums. */
typedef struct
{
  br_name_t vm;
  uint32_t entries; /* whose reports the sums include */
  br_ms_t received_ms;
} br_deputy_source_t;

BR_VEC (br_deputy_sources, br_deputy_source_t);

/* An all-zero value has had a leader at time 0. */
typedef struct
{
  br_deputy_sources_t sources; /* since the last message from a leader */
  br_ms_t leader_ms;           /* time of that message */
  bool in_use;
  br_name_t vm; /* whose sums are used, while IN_USE */
} br_deputy_t;

/* Returns whether the VM has had nothing from a leader for long enough. */
bool br_deputy_has_no_leader (const br_deputy_t *deputy, br_ms_t now);

/* Records a message from a leader. */
void br_deputy_on_leader (br_deputy_t *deputy, br_ms_t now);

/* Takes the offer of VM, whose sums include ENTRIES entry VMs of the KNOWN
 * ones.  Returns whether these sums are to be used. */
bool br_deputy_on_sums (br_deputy_t *deputy,
                        const br_name_t *vm,
                        uint32_t entries,
                        uint32_t known,
                        br_ms_t now);

/* Ends the use of a deputy that sends nothing any more. */
void br_deputy_tick (br_deputy_t *deputy, uint32_t known, br_ms_t now);
void br_deputy_release (br_deputy_t *deputy);

BR_END_DECLS

#endif
