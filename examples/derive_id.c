/* derive_id.c - a retried request maps to the same program id.

   Needs: mimosaquay.h.  */

#include <mimosaquay.h>
#include <stdio.h>

enum
{
  PARTITIONS = 16
};

static void
print_id (const char *label, struct mq_id id)
{
  char text[MQ_ID_TEXT];

  mq_id_format (id, text);
  printf ("%-12s %s partition %u\n", label, text,
          mq_id_partition (id, PARTITIONS));
}

int
main (void)
{
  struct mq_id first = mq_id_open ("hr", "awa-1");
  struct mq_id again = mq_id_open ("hr", "awa-1");

  print_id ("first", first);
  print_id ("again", again);
  print_id ("sub-program", mq_id_child (first, 3));
  print_id ("other key", mq_id_open ("hr", "awa-2"));
  return mq_id_equal (first, again) ? 0 : 1;
}
