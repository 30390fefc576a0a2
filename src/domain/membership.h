/* Which entry VMs are live.  Each VM probes another one at random every
 * period, asks others to probe it when it does not answer, suspects it when
 * they do not reach it either, and holds it to be down when it does not refute
 * the suspicion in time.  Views and notices travel on the probes, in bounded
 * number, so that the traffic of a VM does not grow with the system.
 *
 * A state machine without sockets or clock: messages and time go in, messages
 * and events come out of the outbox. */
#ifndef BR_DOMAIN_MEMBERSHIP_H
#define BR_DOMAIN_MEMBERSHIP_H

#include "base/random.h"
#include "domain/domain_message.h"
#include "link/link.h"

BR_BEGIN_DECLS

/* Time between two probes. */
#define BR_MEMBERSHIP_PERIOD_MS 500

/* Time for a direct answer before others are asked. */
#define BR_MEMBERSHIP_DIRECT_MS 200

/* Time for a suspect to refute. */
#define BR_MEMBERSHIP_SUSPICION_MS 2000

typedef enum
{
  BR_MEMBERSHIP_SEND,   /* MESSAGE goes to the VM NAME */
  BR_MEMBERSHIP_VM,     /* the liveness of VM changed */
  BR_MEMBERSHIP_LINK,   /* the link to the VM NAME changed to LINK */
  BR_MEMBERSHIP_NOTICE, /* NOTICE became known */
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
  br_ms_t down_at_ms;  /* of a suspect */
  br_ms_t suspect_ms;  /* since when */
  uint32_t sends_left; /* how often its view is still to be passed on */
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

/* Adds a VM that may exist; it counts as down until it is heard of. */
void br_membership_add (br_membership_t *membership,
                        const br_name_t *name,
                        const br_name_t *failure_domain);

/* A link to the VM is ready; the other end proved that it is INCARNATION. */
void br_membership_link_up (br_membership_t *membership,
                            const br_name_t *name,
                            uint64_t incarnation,
                            br_ms_t now);

/* Takes a message that the VM FROM sent directly. */
void br_membership_receive (br_membership_t *membership,
                            const br_name_t *from,
                            const br_domain_message_t *message,
                            br_ms_t now);

/* Does what is due; to be called at least every 50 ms. */
void br_membership_tick (br_membership_t *membership, br_ms_t now);

/* Makes NOTICE known everywhere.  Returns false when it was known. */
bool br_membership_announce (br_membership_t *membership,
                             const br_notice_t *notice,
                             br_ms_t now);

/* What came out since the outbox was cleared; the caller clears it. */
br_membership_outputs_t *br_membership_outbox (br_membership_t *membership);
const br_members_t *br_membership_members (const br_membership_t *membership);

/* Returns the member NAME, or NULL. */
const br_member_t *br_membership_find (const br_membership_t *membership,
                                       const br_name_t *name);

/* Whether this VM itself was told to leave. */
bool br_membership_is_leaving (const br_membership_t *membership);

BR_END_DECLS

#endif
