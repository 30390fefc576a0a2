/* Tracks which entry VMs are live.  In every period a VM probes another one in
 * random order.  When that one does not answer, the VM requests probes of it
 * from others.  When they do not reach it either, it becomes a suspect, and it
 * is marked down when it does not refute the suspicion in time.  Views and
 * notices are carried by the probes, in bounded number, so the traffic of a VM
 * does not grow with the system.
 *
 * This is a state machine without sockets or clock: the caller passes messages
 * and the time in, and takes messages and events from the outbox. */
#ifndef BR_DOMAIN_MEMBERSHIP_H
#define BR_DOMAIN_MEMBERSHIP_H

#include "base/random.h"
#include "domain/domain_message.h"
#include "link/link.h"

BR_BEGIN_DECLS

/* Time between two probes. */
#define BR_MEMBERSHIP_PROBE_PERIOD_MS 500

/* Time for a direct answer before other VMs are requested to probe. */
#define BR_MEMBERSHIP_DIRECT_TIMEOUT_MS 200

/* Time in which a suspect can refute the suspicion. */
#define BR_MEMBERSHIP_SUSPICION_TIMEOUT_MS 2000

typedef enum
{
  BR_MEMBERSHIP_SEND,   /* MESSAGE is to be sent to the VM NAME */
  BR_MEMBERSHIP_VM,     /* the liveness of VM changed */
  BR_MEMBERSHIP_LINK,   /* the link to the VM NAME changed to LINK */
  BR_MEMBERSHIP_NOTICE, /* NOTICE is new */
} br_membership_output_kind_t;

typedef struct
{
  br_membership_output_kind_t kind;
  br_name_t name;
  union
  {
    br_domain_message_t message;
    br_vm_t vm;
    br_link_kind_t link;
    br_notice_t notice;
  };
} br_membership_output_t;

BR_VEC (br_membership_outputs, br_membership_output_t);

/* Another entry VM. */
typedef struct
{
  br_vm_t vm;
  br_name_t failure_domain;
  br_link_t link;
  br_ms_t down_at_ms;       /* of a suspect: when it is marked down */
  br_ms_t suspect_ms;       /* of a suspect: since when */
  uint32_t sends_remaining; /* messages that are still to carry its view */
} br_member_t;

BR_VEC (br_members, br_member_t);

typedef struct
{
  br_name_t vm;
  br_name_t failure_domain;
  uint64_t incarnation;
  uint64_t seed;
} br_membership_options_t;

typedef struct br_membership br_membership_t;

br_membership_t *br_membership_new (const br_membership_options_t *options);
void br_membership_free (br_membership_t *membership);

/* Adds a VM that may exist.  It counts as down until a view of it arrives. */
void br_membership_add (br_membership_t *membership,
                        const br_name_t *name,
                        const br_name_t *failure_domain);

/* Reports that a link to the VM is ready, and that the other end authenticated
 * as INCARNATION. */
void br_membership_link_up (br_membership_t *membership,
                            const br_name_t *name,
                            uint64_t incarnation,
                            br_ms_t now);

/* Processes a message that the VM FROM sent directly. */
void br_membership_receive (br_membership_t *membership,
                            const br_name_t *from,
                            const br_domain_message_t *message,
                            br_ms_t now);

/* Runs the timers.  Must be called at least every 50 ms. */
void br_membership_tick (br_membership_t *membership, br_ms_t now);

/* Sends NOTICE to all VMs.  Returns false when this VM already had it. */
bool br_membership_announce (br_membership_t *membership,
                             const br_notice_t *notice,
                             br_ms_t now);

/* Returns the outputs since the outbox was last cleared.  The caller clears
 * it. */
br_membership_outputs_t *br_membership_outbox (br_membership_t *membership);
const br_members_t *br_membership_members (const br_membership_t *membership);

/* Returns the member NAME, or NULL. */
const br_member_t *br_membership_find (const br_membership_t *membership,
                                       const br_name_t *name);

/* Returns whether this VM is marked as leaving. */
bool br_membership_is_leaving (const br_membership_t *membership);

BR_END_DECLS

#endif
