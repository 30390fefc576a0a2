/* Admission on one entry VM: limits of organisations, fair queueing between
 * them, deadlines, and refusals that say when to come back.  A state machine:
 * messages in, messages out, no clock of its own.
 *
 * A request that may not run gets its refusal in the call that decides it;
 * nothing is held back. */
#ifndef BR_ORGANISATION_ADMISSION_H
#define BR_ORGANISATION_ADMISSION_H

#include "base/clock.h"
#include "base/error.h"
#include "base/label.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Requests that wait on this VM, over all organisations and services. */
#define BR_ADMISSION_QUEUE_MAX 4096

/* How often digests go to the other VMs of the failure domain. */
#define BR_ADMISSION_DIGEST_MS 500

typedef struct br_admission br_admission_t;

/* What an organisation declares; a limit of 0 means no limit.  Limits hold
 * over all entry VMs of a failure domain. */
typedef struct
{
  br_name_t name;
  int64_t weight;
  int64_t requests_per_second;
  int64_t in_flight;
} br_admission_limits_t;

/* What is known of the demand of one organisation and lent to one VM. */
typedef struct
{
  br_name_t organisation;
  uint64_t lacking_rate; /* thousandths of a request per second */
  uint64_t lacking_slots;
  uint64_t lent_rate;
  uint64_t lent_slots;
} br_admission_demand_t;

BR_VEC (br_admission_demands, br_admission_demand_t);

/* What one entry VM tells another of its failure domain. */
typedef struct
{
  br_name_t vm; /* the sender on the way in, the receiver on the way out */
  uint64_t incarnation;
  br_ms_t sent_ms;
  uint64_t echo_incarnation;
  br_ms_t echo_sent_ms;
  br_admission_demands_t demands; /* owned */
} br_admission_digest_t;

typedef struct
{
  uint64_t ticket; /* chosen by the caller, never used twice */
  br_name_t organisation;
  br_name_t service;
  uint64_t tokens;     /* estimated cost */
  br_ms_t deadline_ms; /* when it must have started */
} br_admission_request_t;

/* X (id, what it says) */
#define BR_ADMISSION_INPUT_TABLE(X)                                            \
  X (LIMITS, "an organisation was declared or changed")                        \
  X (FORGET, "an organisation is declared no more")                            \
  X (CAPACITY, "how many requests of a service may run from this VM")          \
  X (REQUEST, "a request wants to run")                                        \
  X (GIVE_UP, "the caller of a request that waits has gone")                   \
  X (DONE, "a request that was admitted has ended")                            \
  X (DIGEST, "another VM of the failure domain told its demand")               \
  X (TICK, "time has passed")

typedef enum
{
#define X(id, help) BR_ADMISSION_##id,
  BR_ADMISSION_INPUT_TABLE (X)
#undef X
} br_admission_input_kind_t;

typedef struct
{
  br_admission_input_kind_t kind;
  union
  {
    br_admission_limits_t limits;
    br_name_t forget;
    struct
    {
      br_name_t service;
      uint64_t max;        /* requests that may run; UINT64_MAX: not known */
      uint64_t unreserved; /* without what is kept for organisations that have
                         less running than their part */
    } capacity;
    br_admission_request_t request;
    uint64_t give_up;
    uint64_t done;
    const br_admission_digest_t *digest;
  };
} br_admission_input_t;

/* X (id, what it says) */
#define BR_ADMISSION_OUTPUT_TABLE(X)                                           \
  X (ADMITTED, "start the request now")                                        \
  X (REFUSED, "answer the caller now, the request has not run")                \
  X (SEND_DIGEST, "send the digest to that VM")

typedef enum
{
#define X(id, help) BR_ADMISSION_##id,
  BR_ADMISSION_OUTPUT_TABLE (X)
#undef X
} br_admission_output_kind_t;

typedef struct
{
  br_admission_output_kind_t kind;
  uint64_t ticket;
  br_error_t error; /* of REFUSED: LIMITED or UNAVAILABLE, with the time to
                       come back */
  br_admission_digest_t digest; /* of SEND_DIGEST; owned by the message */
} br_admission_output_t;

BR_VEC (br_admission_outbox, br_admission_output_t);

/* VMS names all entry VMs of the failure domain, this one included. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  const br_names_t *vms; /* copied */
  br_ms_t now;
} br_admission_options_t;

br_admission_t *br_admission_new (const br_admission_options_t *options);
void br_admission_free (br_admission_t *admission);

/* Handles one message and appends what follows from it to OUTBOX. */
void br_admission_handle (br_admission_t *admission,
                          const br_admission_input_t *input,
                          br_ms_t now,
                          br_admission_outbox_t *outbox);

/* Frees what the messages own and empties OUTBOX. */
void br_admission_outbox_reset (br_admission_outbox_t *outbox);

/* For the operators' view. */
size_t br_admission_waiting (const br_admission_t *admission);
size_t br_admission_running (const br_admission_t *admission);

BR_END_DECLS

#endif
