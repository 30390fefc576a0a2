/* The fault soak runs a small site of real processes on loopback, sends it
 * requests as callers and configuration changes as an operator, and injects
 * random faults.  Its modules share one soak_t.  Times are of the monotonic
 * clock. */
#ifndef BR_TESTS_SOAK_H
#define BR_TESTS_SOAK_H

#include <event2/event.h>
#include <stdio.h>
#include <sys/types.h>

#include "base/clock.h"
#include "base/random.h"
#include "base/str.h"
#include "base/vec.h"
#include "http/http_client.h"
#include "relay.h"

BR_BEGIN_DECLS

#define SOAK_CONTROLS 3
#define SOAK_ENTRIES 3
#define SOAK_RUNNERS 4
#define SOAK_VMS (SOAK_CONTROLS + SOAK_ENTRIES)

/* Number of control VMs that a soak of the control VMs starts at most, those
 * that are replaced included. */
#define SOAK_CONTROLS_MAX 80
#define SOAK_CONTROL_FIRST_MAX 9
#define SOAK_CONTROL_ENTRIES 2
#define SOAK_SEEDS 3
#define SOAK_CALLERS_MAX 400

/* Number of consecutive ports that a site uses, see soak_site.c. */
#define SOAK_PORTS 20

#define SOAK_NAME_MAX 32

/* --- processes --- */

typedef enum
{
  SOAK_CONTROL,
  SOAK_ENTRY,
  SOAK_RUNNER,
  SOAK_CLOUD,
} soak_role_t;

typedef struct
{
  char name[SOAK_NAME_MAX];
  soak_role_t role;
  int number;                /* within its role, from 1 */
  pid_t pid;                 /* 0: not running */
  bool paused;               /* by SIGSTOP */
  bool exit_expected;        /* SIGTERM was sent */
  br_ms_t may_exit_until_ms; /* a full disk may make it exit until then */
  bool founding;         /* site.founding in the settings of its next start */
  br_ms_t start_ms;      /* when it is started; BR_MS_NEVER: no start is due */
  br_ms_t resume_ms;     /* when SIGCONT is sent, if it is paused */
  br_ms_t shim_reset_ms; /* when its clock and disk return to normal;
                          * BR_MS_NEVER: they are normal */
  br_ms_t leave_kill_ms; /* when an upstream that announced leaving is killed;
                          * BR_MS_NEVER: it is not leaving */
  uint64_t starts;       /* number of starts so far */
  bool retired;          /* was replaced: it is not started again */
  bool as_entry;         /* an entry VM at the address of a control VM */
  int seeds[SOAK_SEEDS]; /* numbers of the control VMs that its settings name;
                          * 0: none */
  br_ms_t up_since_ms;   /* of its last start or resumption */
} soak_process_t;

#define SOAK_PROCESSES_MAX (SOAK_CONTROLS_MAX + SOAK_ENTRIES + SOAK_RUNNERS + 1)

/* --- requests of callers --- */

/* X (id, path, runs at most once, is a stream) */
#define SOAK_KIND_TABLE(X)                                                     \
  X (PAY, "/pay/named", true, false)                                           \
  X (LOOK, "/look/named", false, false)                                        \
  X (CHAT, "/chat/named-stream", true, true)                                   \
  X (DRAFT, "/draft/named-stream", false, true)

typedef enum
{
#define X(id, path, once, stream) SOAK_##id,
  SOAK_KIND_TABLE (X)
#undef X
} soak_kind_t;

#define SOAK_KINDS 4

extern const char *const soak_kind_paths[SOAK_KINDS];
extern const bool soak_kind_once[SOAK_KINDS];
extern const bool soak_kind_stream[SOAK_KINDS];

typedef struct
{
  soak_kind_t kind;
  int status;        /* 0: no answer */
  bool complete;     /* the whole answer was received */
  bool planned_only; /* no effects of an unplanned fault from its start to its
                      * end */
  bool vms_undisturbed; /* no fault on VMs or links from SOAK_CONTACT_MS before
                         * its start to its end */
  int fatal;            /* number of its fatal content; 0: none */
  int runs; /* counted from the upstreams' output by soak_check_logs */
} soak_request_t;

BR_VEC (soak_requests, soak_request_t);

/* Number of different fatal contents: request bodies that crash each upstream
 * that runs them. */
#define SOAK_FATAL_CONTENTS 3
#define SOAK_FATAL_PATH "/draft/fatal"

/* Time without a fault after which every VM has received the updates of all
 * others, in milliseconds: the platform's bound ContactMs. */
#define SOAK_CONTACT_MS 3000

typedef struct soak_caller soak_caller_t;
typedef struct soak_operator soak_operator_t;

/* --- the platform's API --- */

/* A range of bytes in the output of the platform's API, written while its link
 * was faulty or just after a paused control VM was resumed.  A call that was
 * delayed until then may arrive after calls of the next holder of the duty. */
typedef struct
{
  long from;
  long to;        /* LONG_MAX: still open */
  br_ms_t end_ms; /* when TO is set to the size of the output */
} soak_output_range_t;

BR_VEC (soak_output_ranges, soak_output_range_t);

/* --- links --- */

typedef struct
{
  char name[SOAK_NAME_MAX];
  br_relay_link_t *link;
  br_ms_t heal_ms; /* BR_MS_NEVER: nothing to heal */
} soak_link_t;

#define SOAK_LINKS (SOAK_VMS + SOAK_RUNNERS + 1)

typedef struct
{
  /* from the command line */
  const char *build;  /* folder of the programs */
  const char *folder; /* of logs and disks */
  uint64_t seed;
  int seconds; /* how long faults are injected */
  int callers;
  int port;    /* first of the site's ports */
  bool fatal;  /* callers also send fatal contents */
  bool limits; /* upstreams also name limits */
  int control; /* number of control VMs in a soak of them; 0: another soak */
  bool wide;   /* it also cuts links and gives addresses to others */
  int overlap; /* VMs lost at once in it; 0: as many as the site tolerates */

  struct event_base *base;
  br_random_t random;
  br_ms_t began_ms;
  FILE *log;
  int failures;
  int counts[SOAK_KINDS][2]; /* requests, and those with a complete answer of
                              * status 200 */

  soak_process_t processes[SOAK_PROCESSES_MAX];
  int n_processes;
  soak_link_t links[SOAK_LINKS];
  soak_output_ranges_t delayed_output;
  br_ms_t next_fault_ms;          /* 0: no faults yet */
  br_ms_t unplanned_until_ms;     /* when the effects of unplanned faults end */
  br_ms_t vms_disturbed_until_ms; /* when all VMs are up to date again after
                                   * faults on VMs or links */
  br_ms_t fatal_until_ms;         /* when callers stop sending fatal contents */
  int faults;                     /* number injected so far */
  soak_requests_t requests;       /* by number, which is part of the id */
  soak_caller_t *caller_list[SOAK_CALLERS_MAX];
  bool callers_stop;
  soak_operator_t *operator_state;
  struct soak_control *control_state;
} soak_t;

br_ms_t soak_now (void);

/* Returns a random number from LOW to HIGH, both included. */
br_ms_t soak_random_between (soak_t *soak, br_ms_t low, br_ms_t high);

/* Writes a line to the soak's log. */
void soak_log (soak_t *soak, const char *format, ...) BR_PRINTF (2, 3);

/* Records a failure: counts it and writes it to the soak's log and to standard
 * error. */
void soak_fail (soak_t *soak, const char *format, ...) BR_PRINTF (2, 3);

/* --- soak_site.c --- */

bool soak_site_start (soak_t *soak);
void soak_site_stop (soak_t *soak);

/* Reaps processes that ended and carries out every start, resumption, kill and
 * return to normal that is due. */
void soak_site_tick (soak_t *soak);

/* Returns how many control VMs the site may lose at once, with their disks. */
int soak_tolerance (const soak_t *soak);

/* Writes the settings file of a VM. */
void soak_settings_write (soak_t *soak, const soak_process_t *process);

/* Sends SIGNAL to the process if it is running. */
void soak_process_signal (soak_t *soak, soak_process_t *process, int signal);

/* Kills the process by SIGKILL and schedules its next start after WAIT_MS. */
void soak_process_kill (soak_t *soak, soak_process_t *process, br_ms_t wait_ms);

/* Sets how the process's clock and disk behave: SHIFT_MS is added to its time
 * of day, each sync takes SYNC_MS longer, and the disk refuses what FULL names.
 * See soak_shim.c. */
void soak_process_shim (soak_t *soak,
                        const soak_process_t *process,
                        int shift_ms,
                        int sync_ms,
                        int full);

/* Sets PATH to the process's file with SUFFIX in the soak's folder. */
void soak_process_path (const soak_t *soak,
                        const soak_process_t *process,
                        const char *suffix,
                        br_buf_t *path);

/* Marks calls to the platform's API as possibly delayed for the next
 * DURATION_MS, see soak_output_range_t. */
void soak_cloud_mark_delayed (soak_t *soak, br_ms_t duration_ms);

/* Returns the process of ROLE with NUMBER, from 1. */
soak_process_t *soak_process (soak_t *soak, soak_role_t role, int number);

/* Returns the address of the process of ROLE with NUMBER at PORT, which is
 * relative to the site's first port: see soak_site.c. */
struct sockaddr_in
soak_address (const soak_t *soak, soak_role_t role, int number, int port);

/* Returns the address of upstream NUMBER itself, which bypasses the relay. */
struct sockaddr_in soak_runner_address (const soak_t *soak, int number);

/* --- soak_control_link.c --- */

/* Starts the link to control VM NUMBER in a soak of the control VMs. */
bool soak_link_start (soak_t *soak,
                      int number,
                      const struct sockaddr_in *from,
                      const struct sockaddr_in *to);

/* Closes all connections that an earlier process at the control VM's address
 * had: the start of the VM ends them. */
void soak_link_renew (soak_t *soak, const soak_process_t *vm);

/* --- soak_fault.c --- */

/* Ends the link faults that are due and injects the next fault when it is due.
 */
void soak_fault_tick (soak_t *soak);

/* Heals all links, resets clocks and disks, stops fatal contents, and schedules
 * the start or resumption of every process.  Upstreams that announced leaving
 * are still killed at their time. */
void soak_fault_heal_all (soak_t *soak);

/* Makes one upstream of each service name a limit. */
void soak_fault_limit_some (soak_t *soak);

/* Deletes the files in the folder PATH. */
void soak_delete_files (const char *path);

/* --- soak_caller.c --- */

void soak_callers_start (soak_t *soak);

/* Returns whether no caller has a request in progress. */
bool soak_callers_idle (const soak_t *soak);
void soak_callers_free (soak_t *soak);

/* Returns the number of the request with ID, or -1 when ID has none. */
long soak_request_number (const char *id);

/* --- soak_operator.c --- */

void soak_operator_start (soak_t *soak);
void soak_operator_free (soak_t *soak);

/* Stops configuration changes; reads and checks of entry VMs continue. */
void soak_operator_stop_changes (soak_t *soak);

/* Returns whether every entry VM is ready and has the newest acknowledged
 * configuration in force. */
bool soak_operator_recovered (const soak_t *soak);

/* Writes the configuration of VERSION to OUT. */
void
soak_configuration_write (const soak_t *soak, uint64_t version, br_buf_t *out);

/* Returns the version of the configuration BODY, or 0 when it is none that
 * soak_configuration_write wrote for this seed. */
uint64_t soak_configuration_version (const soak_t *soak, br_str_t body);

/* Returns the value of the metric whose name and a space are NAME, or -1. */
long soak_metric (br_str_t body, const char *name);

/* --- soak_check.c --- */

/* Checks the output of the upstreams and of the platform's API against the
 * answers that callers received. */
void soak_check_logs (soak_t *soak);

BR_END_DECLS

#endif
