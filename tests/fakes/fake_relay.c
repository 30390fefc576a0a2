/* Fake network links: relays TCP connections between ports of 127.0.0.1.
 * Commands over HTTP on the control port delay a link, hold back one or both
 * directions, or stall or reset its open connections.
 *
 *   fake_relay --control 7000 --link 7001:8001 --link 7002:8002
 *   POST /links/0/COMMAND     support/relay.h lists the commands
 *   POST /links/all/COMMAND   the same for every link
 */
#include <argp.h>
#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay.h"

#define LINKS_MAX 64

typedef struct
{
  int listen_port;
  int target_port;
  br_relay_link_t *link;
} relayed_link_t;

typedef struct
{
  int control_port;
  relayed_link_t links[LINKS_MAX];
  int n_links;
} relay_t;

static bool
relay_handle_command (relay_t *relay, const char *uri)
{
  const char *prefix = "/links/";
  const char *number = uri + strlen (prefix);
  const char *command = strncmp (uri, prefix, strlen (prefix)) == 0
                            ? strchr (number, '/')
                            : NULL;
  bool ok = true;

  if (command == NULL)
    return false;
  if (strncmp (number, "all/", 4) != 0)
    return atoi (number) < relay->n_links
           && br_relay_link_command (relay->links[atoi (number)].link,
                                     command + 1);
  for (int i = 0; i < relay->n_links; i++)
    ok = br_relay_link_command (relay->links[i].link, command + 1) && ok;
  return ok;
}

static void
relay_on_control (struct evhttp_request *request, void *context)
{
  bool ok = relay_handle_command (context, evhttp_request_get_uri (request));

  evhttp_send_reply (request, ok ? HTTP_OK : HTTP_NOTFOUND, NULL, NULL);
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

static bool
relay_listen (struct event_base *base, relayed_link_t *relayed)
{
  struct sockaddr_in from = loopback (relayed->listen_port);
  struct sockaddr_in to = loopback (relayed->target_port);

  relayed->link = br_relay_link_new (base, &from, &to);
  return relayed->link != NULL;
}

static const struct argp_option relay_options[] = {
  { "control", 'c', "PORT", 0, "Port for commands", 0 },
  { "link", 'l', "LISTEN:TARGET", 0, "A link between two ports", 0 },
  { 0 },
};

static error_t
relay_parse (int key, char *arg, struct argp_state *state)
{
  relay_t *relay = state->input;
  relayed_link_t *link;

  switch (key)
    {
    case 'c':
      relay->control_port = atoi (arg);
      return 0;
    case 'l':
      if (relay->n_links == LINKS_MAX)
        argp_error (state, "at most %d links", LINKS_MAX);
      link = &relay->links[relay->n_links++];
      if (sscanf (arg, "%d:%d", &link->listen_port, &link->target_port) != 2)
        argp_error (state, "--link: expected LISTEN:TARGET, not %s", arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = relay_options, .parser = relay_parse };
  static relay_t relay;
  struct event_base *base = event_base_new ();
  struct evhttp *http;

  argp_parse (&argp, argc, argv, 0, NULL, &relay);
  signal (SIGPIPE, SIG_IGN);
  http = evhttp_new (base);
  evhttp_set_gencb (http, relay_on_control, &relay);
  if (evhttp_bind_socket (http, "127.0.0.1", (uint16_t)relay.control_port) != 0)
    return 1;
  for (int i = 0; i < relay.n_links; i++)
    if (!relay_listen (base, &relay.links[i]))
      return 1;
  event_base_dispatch (base);
  return 0;
}
