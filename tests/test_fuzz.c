/* test_fuzz.c - every decoder of external input, over its corpus and seeded
   mutations of it.

   Files "good-…" must be accepted and "bad-…" rejected; for other files, found
   by the fuzzer, either result is valid.  The checks of tests/fuzz must hold
   for any input; ASan and UBSan detect out-of-bounds reads.  Seed and number
   of mutations are fixed, so runs are reproducible.
   Needs: fuzz/fuzz.h, Criterion.  */

#include "fuzz/fuzz.h"
#include <criterion/criterion.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORPUS "tests/fuzz/corpus"

enum
{
  CHANGES_MAX = 4, /* per mutation */
  GROWTH = 64,     /* maximum bytes added by a change */
  FILE_MAX = 64 << 10,
  FIRST_SEED = 1
};

struct fuzz_case
{
  const char *name;
  fuzz_function *run;
  uint64_t mutations;
};

/* Input being mutated and the state of the random generator.  */
struct mutant
{
  uint8_t data[FILE_MAX + CHANGES_MAX * GROWTH];
  size_t len;
  uint64_t random;
};

/* xorshift64*  */
static uint32_t
next_random (struct mutant *mutant, size_t below)
{
  mutant->random ^= mutant->random >> 12;
  mutant->random ^= mutant->random << 25;
  mutant->random ^= mutant->random >> 27;
  return (uint32_t)((mutant->random * 0x2545f4914f6cdd1dULL >> 32) % below);
}

static void
remove_part (struct mutant *mutant, size_t at)
{
  size_t len = 1 + next_random (mutant, mutant->len - at);

  memmove (mutant->data + at, mutant->data + at + len, mutant->len - at - len);
  mutant->len -= len;
}

/* Inserts a copy of another part of the input at AT.  */
static void
repeat_part (struct mutant *mutant, size_t at)
{
  uint8_t part[GROWTH];
  size_t from = next_random (mutant, mutant->len);
  size_t left = mutant->len - from;
  size_t len = 1 + next_random (mutant, left < GROWTH ? left : GROWTH);

  memcpy (part, mutant->data + from, len);
  memmove (mutant->data + at + len, mutant->data + at, mutant->len - at);
  memcpy (mutant->data + at, part, len);
  mutant->len += len;
}

static void
change_once (struct mutant *mutant)
{
  static const uint8_t telling[]
      = { 0, 1, 0x7f, 0x80, 0xff, '"', '\\', '{', '[', '\n', ' ', '-' };
  size_t at;

  if (mutant->len == 0)
    return;
  at = next_random (mutant, mutant->len);
  switch (next_random (mutant, 6))
    {
    case 0:
      mutant->data[at] ^= (uint8_t)(1U << next_random (mutant, 8));
      break;
    case 1:
      mutant->data[at] = (uint8_t)next_random (mutant, 256);
      break;
    case 2:
      mutant->data[at] = telling[next_random (mutant, sizeof telling)];
      break;
    case 3:
      remove_part (mutant, at);
      break;
    case 4:
      repeat_part (mutant, at);
      break;
    default:
      mutant->len = at;
      break;
    }
}

/* Copies the input to a buffer of its exact size, so that ASan detects any
   out-of-bounds read.  */
static bool
run_exact (const struct fuzz_case *test, const uint8_t *data, size_t len)
{
  uint8_t *exact = malloc (len == 0 ? 1 : len);
  bool accepted;

  memcpy (exact, data, len);
  accepted = test->run (exact, len);
  free (exact);
  return accepted;
}

static void
run_mutations (const struct fuzz_case *test, const uint8_t *data, size_t len)
{
  static struct mutant mutant;

  for (uint64_t seed = FIRST_SEED; seed < FIRST_SEED + test->mutations; seed++)
    {
      uint32_t changes;

      memcpy (mutant.data, data, len);
      mutant.len = len;
      mutant.random = seed * 0x9e3779b97f4a7c15ULL + len;
      changes = 1 + next_random (&mutant, CHANGES_MAX);
      for (uint32_t i = 0; i < changes; i++)
        change_once (&mutant);
      run_exact (test, mutant.data, mutant.len);
    }
}

static size_t
read_file (const char *path, uint8_t *data)
{
  FILE *file = fopen (path, "r");
  size_t len;

  cr_assert_not_null (file, "%s (run from the root of the tree)", path);
  len = fread (data, 1, FILE_MAX, file);
  fclose (file);
  return len;
}

static void
run_file (const struct fuzz_case *test, const char *name)
{
  static uint8_t data[FILE_MAX];
  char path[512];
  size_t len;
  bool accepted;

  snprintf (path, sizeof path, CORPUS "/%s/%s", test->name, name);
  len = read_file (path, data);
  accepted = run_exact (test, data, len);
  if (strncmp (name, "good-", 5) == 0)
    cr_expect (accepted, "%s is refused", path);
  if (strncmp (name, "bad-", 4) == 0)
    cr_expect_not (accepted, "%s is accepted", path);
  run_mutations (test, data, len);
}

static int
is_visible (const struct dirent *entry)
{
  return entry->d_name[0] != '.';
}

static void
run_corpus (const struct fuzz_case *test)
{
  char path[256];
  struct dirent **files;
  int count;
  int good = 0;
  int bad = 0;

  snprintf (path, sizeof path, CORPUS "/%s", test->name);
  count = scandir (path, &files, is_visible, alphasort);
  cr_assert_gt (count, 0, "%s (run from the root of the tree)", path);
  for (int i = 0; i < count; i++)
    {
      good += strncmp (files[i]->d_name, "good-", 5) == 0;
      bad += strncmp (files[i]->d_name, "bad-", 4) == 0;
      run_file (test, files[i]->d_name);
      free (files[i]);
    }
  free (files);
  cr_expect (good > 0 && bad > 0, "%s: %d good, %d bad files", path, good,
             bad);
}

#define FUZZ_TEST(name, count)                                                \
  Test (fuzz, name)                                                           \
  {                                                                           \
    static const struct fuzz_case test = { #name, fuzz_##name, count };       \
                                                                              \
    run_corpus (&test);                                                       \
  }
FUZZ_LIST (FUZZ_TEST)
