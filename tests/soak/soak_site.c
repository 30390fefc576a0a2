/* Starts, stops and signals the processes of the site, and sets up the relay
 * through which they reach each other. */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

/* Ports, relative to the site's first port.  Each VM has its own address.  The
 * platform's API and the upstreams are at 127.0.0.1, and the relay listens for
 * each of them at its port plus RELAY_PORT_OFFSET. */
#define PORT_CALLERS 0
#define PORT_OPERATORS 1
#define PORT_PEERS 2
#define PORT_CLOUD 3
#define PORT_RUNNERS 4
#define PORT_METRICS 8
#define PORT_HELP 9
#define RELAY_PORT_OFFSET 10

/* Calls that arrive up to this time after a link fault ends or their sender is
 * resumed may have been delayed, in milliseconds: the platform's bound
 * ThawSlackMs. */
#define DELAYED_SLACK_MS 300

/* Time after which a process that ended is started again, unless another time
 * is set, in milliseconds.  The platform restarts ended processes too. */
#define RESTART_MS 200

static const char *const role_names[]
    = { "control", "entry", "runner", "cloud" };

soak_process_t *
soak_process (soak_t *soak, soak_role_t role, int number)
{
  int entries = soak->control > 0 ? SOAK_CONTROLS_MAX : SOAK_CONTROLS;
  int first[] = { 0, entries, entries + SOAK_ENTRIES,
                  entries + SOAK_ENTRIES + SOAK_RUNNERS };

  return &soak->processes[first[role] + number - 1];
}

int
soak_tolerance (const soak_t *soak)
{
  return soak->control >= 8 ? 2 : 1;
}

/* Returns whether the processes of ROLE are reached through the relay.  A wide
 * soak of the control VMs disturbs the links to these alone. */
static bool
has_relay (const soak_t *soak, soak_role_t role)
{
  return soak->control == 0 || (soak->wide && role == SOAK_CONTROL);
}

/* Returns the third byte of a VM's address.  The two kinds of soak use
 * different ones. */
static int
vm_subnet (const soak_t *soak, soak_role_t role)
{
  return (soak->control == 0 ? 11 : 13) + (role == SOAK_CONTROL ? 0 : 1);
}

/* Returns the address of a VM.  With NET 0 it is the public one, 127.0.11.N for
 * control VMs and 127.0.12.N for entry VMs; there the relay listens for peers.
 * With NET 1 it is 127.1.11.N or 127.1.12.N, where the VM itself listens for
 * peers. */
static struct sockaddr_in
vm_address (const soak_t *soak, soak_role_t role, int number, int net, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr
      = htonl (0x7f000000u + ((uint32_t)net << 16)
               + ((uint32_t)vm_subnet (soak, role) << 8) + (uint32_t)number);
  address.sin_port = htons ((uint16_t)(soak->port + port));
  return address;
}

struct sockaddr_in
soak_address (const soak_t *soak, soak_role_t role, int number, int port)
{
  struct sockaddr_in address = vm_address (soak, role, number, 0, port);

  if (role == SOAK_RUNNER || role == SOAK_CLOUD)
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

struct sockaddr_in
soak_runner_address (const soak_t *soak, int number)
{
  return soak_address (soak, SOAK_RUNNER, number, PORT_RUNNERS + number - 1);
}

void
soak_process_path (const soak_t *soak,
                   const soak_process_t *process,
                   const char *suffix,
                   br_buf_t *path)
{
  br_buf_clear (path);
  br_buf_printf (path, "%s/%s%s", soak->folder, process->name, suffix);
}

static void
write_file (const char *path, const br_buf_t *text)
{
  FILE *file = fopen (path, "w");

  if (file == NULL)
    {
      perror (path);
      exit (1);
    }
  fwrite (text->data, 1, text->len, file);
  fclose (file);
}

void
soak_process_shim (soak_t *soak,
                   const soak_process_t *process,
                   int shift_ms,
                   int sync_ms,
                   int full)
{
  br_buf_t path = { 0 };
  br_buf_t text = { 0 };

  soak_process_path (soak, process, ".shim", &path);
  br_buf_printf (&text, "%d %d %d\n", shift_ms, sync_ms, full);
  write_file (path.data, &text);
  br_buf_free (&path);
  br_buf_free (&text);
}

void
soak_settings_write (soak_t *soak, const soak_process_t *process)
{
  bool control = process->role == SOAK_CONTROL && !process->as_entry;
  int net = vm_subnet (soak, process->role);
  int peers = has_relay (soak, process->role) ? 1 : 0;
  bool first = true;
  int n = process->number;
  br_buf_t path = { 0 };
  br_buf_t text = { 0 };

  br_buf_printf (&text,
                 "{\"vm\": {\"name\": \"127.0.%d.%d\", \"log_name\": \"%s\", "
                 "\"failure_domain\": \"d%d\"%s},\n",
                 net, n, process->name, n, control ? ", \"voter\": true" : "");
  if (control)
    br_buf_printf (&text, "\"data\": {\"folder\": \"%s/%s.disk\"},\n",
                   soak->folder, process->name);
  else
    br_buf_printf (&text, "\"callers\": {\"address\": \"127.0.%d.%d:%d\"},\n",
                   net, n, soak->port + PORT_CALLERS);
  br_buf_printf (&text,
                 "\"operators\": {\"address\": \"127.0.%d.%d:%d\"},\n"
                 "\"metrics\": {\"address\": \"127.0.%d.%d:%d\"},\n"
                 "\"peers\": {\"address\": \"127.%d.%d.%d\", \"port\": %d, "
                 "\"open\": true, \"relay_port\": %d, "
                 "\"shared_key\": \"soak-site-shared-key\"},\n"
                 "\"platform\": {\"address\": \"127.0.0.1:%d\"},\n",
                 net, n, soak->port + PORT_OPERATORS, net, n,
                 soak->port + PORT_METRICS, peers, net, n,
                 soak->port + PORT_PEERS, soak->port + PORT_HELP,
                 soak->port + PORT_CLOUD
                     + (has_relay (soak, SOAK_CLOUD) ? RELAY_PORT_OFFSET : 0));
  br_buf_printf (
      &text,
      "\"site\": {\"role\": \"%s\", \"founding\": %s, "
      "\"usage_window_s\": 1, \"usage_late_s\": 6, \"grace_s\": 6, "
      "\"retry_ratio\": 0.2, \"retry_slack\": 50, \"lease_ms\": 500, "
      "\"duties\": \"usage,scaling\", \"disk_losses\": %d, "
      "\"control_vms\": \"",
      role_names[control ? SOAK_CONTROL : SOAK_ENTRY],
      process->founding ? "true" : "false", soak_tolerance (soak));
  for (int i = 0; i < SOAK_SEEDS; i++)
    if (process->seeds[i] > 0)
      {
        br_buf_printf (&text, "%s127.0.%d.%d:%d", first ? "" : ",",
                       vm_subnet (soak, SOAK_CONTROL), process->seeds[i],
                       soak->port + PORT_OPERATORS);
        first = false;
      }
  br_buf_printf (&text, "\"}}\n");
  soak_process_path (soak, process, ".json", &path);
  write_file (path.data, &text);
  br_buf_free (&path);
  br_buf_free (&text);
}

/* Returns the arguments of the process's command line, NULL-terminated.  They
 * are valid until the next call. */
static char **
command_line (soak_t *soak, const soak_process_t *process)
{
  static char words[16][192];
  static char *argv[17];
  size_t n = 0;

#define ARG(...) snprintf (words[n++], sizeof words[0], __VA_ARGS__)
  switch (process->role)
    {
    case SOAK_CONTROL:
    case SOAK_ENTRY:
      ARG ("%s/briarrack", soak->build);
      ARG ("serve");
      ARG ("%s/%s.json", soak->folder, process->name);
      break;
    case SOAK_RUNNER:
      ARG ("%s/fake_runner", soak->build);
      ARG ("--port");
      ARG ("%d", soak->port + PORT_RUNNERS + process->number - 1);
      ARG ("--id");
      ARG ("%s", process->name);
      ARG ("--cloud");
      ARG ("%d", soak->port + PORT_CLOUD);
      break;
    case SOAK_CLOUD:
      ARG ("%s/fake_cloud", soak->build);
      ARG ("--port");
      ARG ("%d", soak->port + PORT_CLOUD);
      for (int i = 1; i <= SOAK_RUNNERS; i++)
        {
          ARG ("--runner");
          ARG ("runner-%d,%s,d%d,%d", i,
               i <= SOAK_RUNNERS / 2 ? "llm" : "ledger", i,
               soak->port + PORT_RUNNERS
                   + (has_relay (soak, SOAK_RUNNER) ? RELAY_PORT_OFFSET : 0) + i
                   - 1);
        }
      break;
    }
#undef ARG
  for (size_t i = 0; i < n; i++)
    argv[i] = words[i];
  argv[n] = NULL;
  return argv;
}

static void
child_exec (soak_t *soak, const soak_process_t *process)
{
  br_buf_t path = { 0 };
  int fd;

  /* The kernel kills the child when the soak ends, for whatever reason. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  soak_process_path (soak, process, ".out", &path);
  fd = open (path.data, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, STDOUT_FILENO);
  soak_process_path (soak, process, ".err", &path);
  fd = open (path.data, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, STDERR_FILENO);
  if (process->role == SOAK_CONTROL)
    {
      soak_process_path (soak, process, ".shim", &path);
      setenv ("SOAK_SHIM", path.data, 1);
      br_buf_clear (&path);
      br_buf_printf (&path, "127.0.%d.%d", vm_subnet (soak, process->role),
                     process->number);
      if (soak->wide)
        setenv ("SOAK_ADDRESS", path.data, 1);
      br_buf_clear (&path);
      br_buf_printf (&path, "%s/libsoak_shim.so", soak->build);
      setenv ("LD_PRELOAD", path.data, 1);
      setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
  close_range (STDERR_FILENO + 1, ~0u, 0);
  execv (command_line (soak, process)[0], command_line (soak, process));
  _exit (127);
}

static void
process_start (soak_t *soak, soak_process_t *process)
{
  if (process->role == SOAK_CONTROL || process->role == SOAK_ENTRY)
    soak_settings_write (soak, process);
  if (soak->wide && process->role == SOAK_CONTROL)
    soak_link_renew (soak, process);
  process->start_ms = BR_MS_NEVER;
  process->exit_expected = false;
  process->paused = false;
  process->starts++;
  process->up_since_ms = soak_now ();
  process->pid = fork ();
  if (process->pid == 0)
    child_exec (soak, process);
  if (process->pid < 0)
    {
      perror ("fork");
      exit (1);
    }
}

static void
process_reap (soak_t *soak, soak_process_t *process)
{
  int status;

  if (process->pid == 0 || waitpid (process->pid, &status, WNOHANG) == 0)
    return;
  if (!process->exit_expected && soak_now () > process->may_exit_until_ms)
    soak_fail (soak, "%s ended by itself, %s %d", process->name,
               WIFSIGNALED (status) ? "signal" : "status",
               WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  process->pid = 0;
  if (process->start_ms == BR_MS_NEVER && !process->retired)
    process->start_ms = soak_now () + RESTART_MS;
}

static long
cloud_output_size (soak_t *soak)
{
  br_buf_t path = { 0 };
  struct stat what;
  long size;

  soak_process_path (soak, soak_process (soak, SOAK_CLOUD, 1), ".out", &path);
  size = stat (path.data, &what) == 0 ? (long)what.st_size : 0;
  br_buf_free (&path);
  return size;
}

void
soak_cloud_mark_delayed (soak_t *soak, br_ms_t duration_ms)
{
  soak_output_range_t range = {
    .from = cloud_output_size (soak),
    .to = LONG_MAX,
    .end_ms = soak_now () + duration_ms + DELAYED_SLACK_MS,
  };

  soak_output_ranges_push (&soak->delayed_output, range);
}

static void
delayed_output_tick (soak_t *soak, br_ms_t now)
{
  for (size_t i = 0; i < soak->delayed_output.len; i++)
    if (soak->delayed_output.items[i].to == LONG_MAX
        && now >= soak->delayed_output.items[i].end_ms)
      soak->delayed_output.items[i].to = cloud_output_size (soak);
}

void
soak_site_tick (soak_t *soak)
{
  br_ms_t now = soak_now ();

  delayed_output_tick (soak, now);

  for (int i = 0; i < soak->n_processes; i++)
    {
      soak_process_t *process = &soak->processes[i];

      process_reap (soak, process);
      if (process->pid == 0 && now >= process->start_ms)
        process_start (soak, process);
      if (process->pid > 0 && process->paused && now >= process->resume_ms)
        {
          kill (process->pid, SIGCONT);
          process->paused = false;
          process->up_since_ms = now;
          if (process->role == SOAK_CONTROL)
            soak_cloud_mark_delayed (soak, 0);
        }
      if (now >= process->leave_kill_ms)
        {
          process->leave_kill_ms = BR_MS_NEVER;
          soak_process_kill (soak, process, RESTART_MS);
        }
      if (now >= process->shim_reset_ms)
        {
          soak_process_shim (soak, process, 0, 0, false);
          process->shim_reset_ms = BR_MS_NEVER;
        }
    }
}

void
soak_process_signal (soak_t *soak, soak_process_t *process, int signal)
{
  if (process->pid == 0)
    return;
  soak_log (soak, "%s gets signal %d", process->name, signal);
  kill (process->pid, signal);
}

void
soak_process_kill (soak_t *soak, soak_process_t *process, br_ms_t wait_ms)
{
  process->start_ms = soak_now () + wait_ms;
  if (process->pid == 0)
    return;
  soak_process_signal (soak, process, SIGKILL);
  waitpid (process->pid, NULL, 0);
  process->pid = 0;
}

/* Starts a link to each control VM of a wide soak of them, also to those that
 * come later. */
static bool
control_links_start (soak_t *soak)
{
  for (int n = 1; soak->wide && n <= SOAK_CONTROLS_MAX; n++)
    {
      struct sockaddr_in from
          = vm_address (soak, SOAK_CONTROL, n, 0, PORT_PEERS);
      struct sockaddr_in to = vm_address (soak, SOAK_CONTROL, n, 1, PORT_PEERS);

      if (!soak_link_start (soak, n, &from, &to))
        return false;
    }
  return true;
}

static bool
links_start (soak_t *soak)
{
  for (int i = 0; soak->control == 0 && i < SOAK_LINKS; i++)
    {
      const soak_process_t *process = &soak->processes[i];
      soak_link_t *link = &soak->links[i];
      int port = process->role == SOAK_CLOUD
                     ? PORT_CLOUD
                     : PORT_RUNNERS + process->number - 1;
      bool is_vm = i < SOAK_VMS;
      struct sockaddr_in from
          = is_vm ? vm_address (soak, process->role, process->number, 0,
                                PORT_PEERS)
                  : soak_address (soak, process->role, 1,
                                  port + RELAY_PORT_OFFSET);
      struct sockaddr_in to = is_vm
                                  ? vm_address (soak, process->role,
                                                process->number, 1, PORT_PEERS)
                                  : soak_address (soak, process->role, 1, port);

      memcpy (link->name, process->name, sizeof link->name);
      link->heal_ms = BR_MS_NEVER;
      link->link = br_relay_link_new (soak->base, &from, &to);
      if (link->link == NULL)
        {
          soak_fail (soak, "the relay cannot listen for the link to %s: %s",
                     link->name, strerror (errno));
          return false;
        }
    }
  return true;
}

bool
soak_site_start (soak_t *soak)
{
  int numbers[] = { soak->control > 0 ? SOAK_CONTROLS_MAX : SOAK_CONTROLS,
                    SOAK_ENTRIES, SOAK_RUNNERS, 1 };
  int started[] = { soak->control > 0 ? soak->control : SOAK_CONTROLS,
                    soak->control > 0 ? SOAK_CONTROL_ENTRIES : SOAK_ENTRIES,
                    SOAK_RUNNERS, 1 };
  br_buf_t path = { 0 };

  for (int role = SOAK_CONTROL; role <= SOAK_CLOUD; role++)
    for (int n = 1; n <= numbers[role]; n++)
      {
        soak_process_t *process = soak_process (soak, (soak_role_t)role, n);

        *process
            = (soak_process_t){ .role = (soak_role_t)role,
                                .number = n,
                                .founding = true,
                                .start_ms = n <= started[role] ? soak_now ()
                                                               : BR_MS_NEVER,
                                .seeds = { 1, 2, 3 },
                                .shim_reset_ms = BR_MS_NEVER,
                                .leave_kill_ms = BR_MS_NEVER };
        snprintf (process->name, sizeof process->name, "%s-%d",
                  role_names[role], n);
        soak->n_processes++;
        if (role == SOAK_CONTROL)
          {
            soak_process_path (soak, process, ".disk", &path);
            mkdir (path.data, 0755);
            soak_process_shim (soak, process, 0, 0, false);
          }
      }
  br_buf_free (&path);
  if (!links_start (soak) || !control_links_start (soak))
    return false;
  soak_site_tick (soak);
  return true;
}

void
soak_site_stop (soak_t *soak)
{
  for (int i = 0; i < soak->n_processes; i++)
    if (soak->processes[i].pid > 0)
      kill (soak->processes[i].pid, SIGKILL);
  for (int i = 0; i < soak->n_processes; i++)
    if (soak->processes[i].pid > 0)
      waitpid (soak->processes[i].pid, NULL, 0);
}
