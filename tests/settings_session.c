/* Parses a settings file from standard input and prints its faults, or "ok"
 * with a summary. */
#include <stdio.h>

#include "shell/settings.h"

int
main (void)
{
  br_buf_t text = { 0 };
  br_buf_t faults = { 0 };
  br_settings_t settings;
  int c;

  while ((c = getchar ()) != EOF)
    br_buf_append_char (&text, (char)c);
  if (br_settings_parse (br_buf_str (&text), "settings", &settings, &faults))
    printf ("ok: %s in %s, %zu peers, %zu upstreams\n", settings.vm.data,
            settings.failure_domain.data, settings.vms.len,
            settings.upstreams.len);
  else
    fputs (faults.data, stdout);
  br_settings_release (&settings);
  br_buf_free (&faults);
  br_buf_free (&text);
  return 0;
}
