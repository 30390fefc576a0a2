/* A port where connections hang: its queue of new connections is full, so their
 * opening packets are dropped.  Usage: fake_blackhole PORT */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int filler = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (argc != 2)
    {
      fprintf (stderr, "usage: fake_blackhole PORT\n");
      return 2;
    }
  address.sin_port = htons ((uint16_t)atoi (argv[1]));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 0) != 0
      || connect (filler, (struct sockaddr *)&address, sizeof address) != 0)
    {
      perror ("fake_blackhole");
      return 1;
    }
  for (;;)
    pause ();
}
