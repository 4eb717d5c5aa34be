/* bench_capacity.c - cost of the core's state machines, for docs/CAPACITY.md.

   "bench_capacity" runs every experiment, "bench_capacity NAME…" the named
   ones.  Reports CPU time of the single thread; the state machines run in
   virtual time with the stand-in for the platform's table.
   Needs: capacity.h.  */

#include "capacity.h"
#include <argp.h>
#include <stdio.h>
#include <string.h>

#ifndef __SANITIZE_ADDRESS__
/* glibc's allocator, called by the counting wrappers below.  */
void *__libc_malloc (size_t size);
void *__libc_calloc (size_t count, size_t size);
void *__libc_realloc (void *old, size_t size);

void *
malloc (size_t size)
{
  capacity_heap.calls++;
  capacity_heap.bytes += size;
  return __libc_malloc (size);
}

void *
calloc (size_t count, size_t size)
{
  capacity_heap.calls++;
  capacity_heap.bytes += count * size;
  return __libc_calloc (count, size);
}

void *
realloc (void *old, size_t size)
{
  capacity_heap.calls++;
  capacity_heap.bytes += size;
  return __libc_realloc (old, size);
}
#endif

static const struct
{
  const char *name;
  void (*run) (void);
} experiments[] = {
  { "place", capacity_run_place },       { "fleet", capacity_run_fleet },
  { "text", capacity_run_text },         { "gate", capacity_run_gate },
  { "owner", capacity_run_owner },       { "spread", capacity_run_spread },
  { "takeover", capacity_run_takeover }, { "hosts", capacity_run_hosts },
  { "cuts", capacity_run_cuts },         { "config", capacity_run_config },
};

static bool
is_selected (int argc, char **argv, const char *name)
{
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return true;
  return argc == 1;
}

static const struct argp argp
    = { .args_doc = "[EXPERIMENT...]",
        .doc = "Measures what the core costs as numbers grow.  Experiments: "
               "place fleet text gate owner spread takeover hosts cuts "
               "config." };

int
main (int argc, char **argv)
{
  int index = 0;

  argp_parse (&argp, argc, argv, ARGP_NO_ARGS, &index, NULL);
  for (size_t i = 0; i < sizeof experiments / sizeof experiments[0]; i++)
    if (is_selected (argc, argv, experiments[i].name))
      {
        printf ("== %s\n", experiments[i].name);
        experiments[i].run ();
      }
  return 0;
}
