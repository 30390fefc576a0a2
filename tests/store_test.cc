#include <gtest/gtest.h>

#include <errno.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

#include "base/random.h"
#include "store/store.h"

namespace fs = std::filesystem;

/* A data folder that is removed after the test. */
class Store : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    char name[] = "/tmp/store-XXXXXX";

    folder = mkdtemp (name);
    full = fail_sync = false;
  }

  void
  TearDown () override
  {
    br_store_close (store);
    br_store_loaded_release (&loaded);
    fs::remove_all (folder);
  }

  bool
  open_store (const br_file_ops_t *ops = nullptr)
  {
    br_store_options_t options = {};

    br_store_close (store);
    br_store_loaded_release (&loaded);
    options.folder = folder.c_str ();
    options.segment_max_bytes = 2000;
    options.new_disk = 77;
    options.ops = ops;
    store = br_store_open (&options, &loaded, &err);
    return store != nullptr;
  }

  bool
  append (const std::string &text)
  {
    br_str_t records[2]
        = { br_str_make (text.data (), text.size ()), br_str_from ("second") };

    return br_store_append (store, records, 2, &err);
  }

  bool
  checkpoint (const std::string &text, const std::string &rest)
  {
    br_str_t record = br_str_make (rest.data (), rest.size ());

    return br_store_checkpoint (store, br_str_make (text.data (), text.size ()),
                                &record, 1, &err);
  }

  std::string
  record (size_t i) const
  {
    const br_buf_t &found = loaded.records.items[i];

    return std::string (found.data, found.len);
  }

  std::vector<std::string>
  segments () const
  {
    std::vector<std::string> names;

    for (const auto &entry : fs::directory_iterator (folder))
      if (entry.path ().extension () == ".log")
        names.push_back (entry.path ().string ());
    std::sort (names.begin (), names.end ());
    return names;
  }

  static void
  flip (const std::string &path, long at)
  {
    std::fstream file (path, std::ios::in | std::ios::out | std::ios::binary);
    char c;

    file.seekg (at);
    file.get (c);
    file.seekp (at);
    file.put ((char)(c ^ 0x40));
  }

  static ssize_t
  pwrite_full (int fd, const void *data, size_t len, off_t offset)
  {
    if (!full)
      return pwrite (fd, data, len, offset);
    if (len > 10)
      return pwrite (fd, data, 10, offset);
    errno = ENOSPC;
    return -1;
  }

  static int
  reserve_none (int, off_t, off_t)
  {
    errno = EOPNOTSUPP;
    return -1;
  }

  static int
  reserve_full (int, off_t, off_t)
  {
    errno = ENOSPC;
    return full ? -1 : 0;
  }

  static int
  fsync_fails (int fd)
  {
    if (!fail_sync)
      return fsync (fd);
    errno = EIO;
    return -1;
  }

  static int
  fsync_of_folder_fails (int fd)
  {
    struct stat status;

    return fail_sync && fstat (fd, &status) == 0 && S_ISDIR (status.st_mode)
               ? fsync_fails (fd)
               : fsync (fd);
  }

  static bool full;
  static bool fail_sync;
  std::string folder;
  br_store_t *store = nullptr;
  br_store_loaded_t loaded = {};
  br_error_t err = {};
};

bool Store::full;
bool Store::fail_sync;

TEST_F (Store, ReadsAllRecordsOfManySegments)
{
  ASSERT_TRUE (open_store ());
  EXPECT_EQ (loaded.disk, 77u);
  for (int i = 0; i < 200; i++)
    ASSERT_TRUE (append (std::to_string (i)));
  EXPECT_GT (segments ().size (), 3u);
  ASSERT_TRUE (open_store ());
  ASSERT_EQ (loaded.records.len, 400u);
  EXPECT_EQ (record (398), "199");
  EXPECT_EQ (loaded.disk, 77u);
}

TEST_F (Store, CheckpointReplacesOlderRecords)
{
  ASSERT_TRUE (open_store ());
  for (int i = 0; i < 200; i++)
    ASSERT_TRUE (append (std::to_string (i)));
  ASSERT_TRUE (checkpoint ("all up to 199", "rest"));
  ASSERT_TRUE (append ("after"));
  EXPECT_EQ (segments ().size (), 1u);
  ASSERT_TRUE (open_store ());
  EXPECT_TRUE (loaded.has_snapshot);
  EXPECT_EQ (std::string (loaded.snapshot.data), "all up to 199");
  ASSERT_EQ (loaded.records.len, 3u);
  EXPECT_EQ (record (0), "rest");
  EXPECT_EQ (record (1), "after");
}

TEST_F (Store, TornTailIsTruncatedAtEveryLength)
{
  ASSERT_TRUE (open_store ());
  ASSERT_TRUE (append ("first"));
  uintmax_t whole = fs::file_size (segments ()[0]);
  ASSERT_TRUE (append ("torn"));
  uintmax_t end = fs::file_size (segments ()[0]);
  std::string path = segments ()[0];

  for (uintmax_t len = end - 1; len > whole; len--)
    {
      br_store_close (store);
      store = nullptr;
      fs::resize_file (path, len);
      ASSERT_TRUE (open_store ()) << err.text;
      EXPECT_EQ (loaded.records.len, 2u);
      EXPECT_EQ (loaded.torn_bytes, len - whole);
      ASSERT_TRUE (append ("torn"));
    }
  ASSERT_TRUE (open_store ());
  EXPECT_EQ (loaded.records.len, 4u);
  EXPECT_EQ (loaded.torn_bytes, 0u);
}

TEST_F (Store, DamageBeforeTheTailNamesFileAndFrame)
{
  ASSERT_TRUE (open_store ());
  for (int i = 0; i < 3; i++)
    ASSERT_TRUE (append ("a record of some length"));
  flip (segments ()[0], BR_SEGMENT_HEAD_BYTES + 40);
  EXPECT_FALSE (open_store ());
  EXPECT_EQ (err.code, BR_ERROR_CORRUPT);
  EXPECT_NE (std::string (err.peer).find ("0000000000000001"),
             std::string::npos);
  EXPECT_NE (std::string (err.text).find ("frame 1"), std::string::npos);
}

TEST_F (Store, MissingSegmentIsCorrupt)
{
  ASSERT_TRUE (open_store ());
  for (int i = 0; i < 200; i++)
    ASSERT_TRUE (append (std::to_string (i)));
  fs::remove (segments ()[1]);
  EXPECT_FALSE (open_store ());
  EXPECT_EQ (err.code, BR_ERROR_CORRUPT);
}

TEST_F (Store, IdentityWithoutLogIsCorrupt)
{
  ASSERT_TRUE (open_store ());
  ASSERT_TRUE (append ("1"));
  fs::remove (segments ()[0]);
  EXPECT_FALSE (open_store ());
  EXPECT_EQ (err.code, BR_ERROR_CORRUPT);
}

TEST_F (Store, OtherFormatVersionIsRefused)
{
  ASSERT_TRUE (open_store ());
  flip (segments ()[0], 4);
  EXPECT_FALSE (open_store ());
  EXPECT_NE (std::string (err.text).find ("version"), std::string::npos);
}

TEST_F (Store, SecondProcessIsRefused)
{
  br_store_options_t options = {};
  br_store_loaded_t other;

  ASSERT_TRUE (open_store ());
  options.folder = folder.c_str ();
  options.new_disk = 1;
  EXPECT_EQ (br_store_open (&options, &other, &err), nullptr);
  EXPECT_EQ (err.code, BR_ERROR_CONFLICT);
}

TEST_F (Store, FullDiskRefusesAndRecovers)
{
  br_file_ops_t ops = br_file_system_ops;

  ops.pwrite = pwrite_full;
  ops.reserve = reserve_none;
  ASSERT_TRUE (open_store (&ops));
  ASSERT_TRUE (append ("before"));
  full = true;
  EXPECT_FALSE (append ("while it is full"));
  EXPECT_EQ (err.code, BR_ERROR_STORAGE);
  EXPECT_FALSE (checkpoint ("snapshot", "rest"));
  EXPECT_TRUE (br_store_is_usable (store));
  full = false;
  EXPECT_TRUE (append ("after"));
  ASSERT_TRUE (open_store ());
  ASSERT_EQ (loaded.records.len, 4u);
  EXPECT_EQ (record (2), "after");
}

TEST_F (Store, SpaceIsCheckedBeforeTheWrite)
{
  br_file_ops_t ops = br_file_system_ops;

  ops.reserve = reserve_full;
  ASSERT_TRUE (open_store (&ops));
  full = true;
  EXPECT_FALSE (br_store_has_space (store, 1000));
  EXPECT_FALSE (append ("no"));
  full = false;
  EXPECT_TRUE (br_store_has_space (store, 1000));
  full = true;
  EXPECT_TRUE (append ("fits in the reserved space"));
}

TEST_F (Store, FailedSyncIsNeverRetried)
{
  br_file_ops_t ops = br_file_system_ops;

  ops.fsync = fsync_fails;
  ASSERT_TRUE (open_store (&ops));
  fail_sync = true;
  EXPECT_FALSE (append ("lost"));
  fail_sync = false;
  EXPECT_FALSE (br_store_is_usable (store));
  EXPECT_FALSE (append ("again"));
  EXPECT_FALSE (checkpoint ("snapshot", "rest"));
  EXPECT_EQ (err.code, BR_ERROR_STORAGE);
}

/* A mutated folder is reported as corrupt, or opens with a prefix of the
 * records that were written. */
TEST_F (Store, MutatedFilesGiveAPrefixOrAnError)
{
  size_t reported = 0;
  size_t truncated = 0;

  ASSERT_TRUE (open_store ());
  for (int i = 0; i < 40; i++)
    ASSERT_TRUE (append ("record " + std::to_string (i)));
  br_store_close (store);
  store = nullptr;
  std::string copy = folder + "-copy";
  fs::copy (folder, copy);
  for (uint64_t seed = 1; seed <= 2000; seed++)
    {
      br_random_t random;
      std::vector<std::string> files = segments ();

      br_random_seed (&random, seed);
      files.push_back (folder + "/disk");
      std::string path = files[br_random_below (&random, files.size ())];
      uintmax_t size = fs::file_size (path);
      for (uint64_t n = 1 + br_random_below (&random, 4); n > 0; n--)
        flip (path, (long)br_random_below (&random, size));
      if (br_random_below (&random, 4) == 0)
        fs::resize_file (path, br_random_below (&random, size));
      if (open_store ())
        {
          for (size_t i = 0; i < loaded.records.len; i += 2)
            ASSERT_EQ (record (i), "record " + std::to_string (i / 2))
                << "seed " << seed;
          truncated += loaded.records.len < 80;
        }
      else
        {
          ASSERT_EQ (err.code, BR_ERROR_CORRUPT) << "seed " << seed;
          reported++;
        }
      br_store_close (store);
      store = nullptr;
      fs::remove_all (folder);
      fs::copy (copy, folder);
    }
  fs::remove_all (copy);
  printf ("2000 seeds: %zu reported, %zu truncated to a prefix\n", reported,
          truncated);
  EXPECT_GT (reported, 0u);
}

/* Guards against a log that cannot be opened any more: a new segment exists and
 * the old one is written on. */
TEST_F (Store, FolderSyncFailsAtANewSegment)
{
  br_file_ops_t ops = br_file_system_ops;
  std::string last;

  ops.fsync = fsync_of_folder_fails;
  ASSERT_TRUE (open_store (&ops));
  for (int i = 0; i < 20; i++)
    {
      std::string text = "write " + std::to_string (i) + std::string (300, '.');

      fail_sync = i >= 5;
      if (append (text))
        last = text;
    }
  ASSERT_TRUE (open_store ()) << err.text;
  ASSERT_GE (loaded.records.len, 2u);
  EXPECT_EQ (record (loaded.records.len - 2), last);
}

/* Guards against a store that stays unusable once a disk that was full has room
 * again. */
TEST_F (Store, RecoversAfterAFailedSync)
{
  br_file_ops_t ops = br_file_system_ops;

  ops.fsync = fsync_fails;
  ASSERT_TRUE (open_store (&ops));
  ASSERT_TRUE (append ("before"));
  fail_sync = true;
  EXPECT_FALSE (append ("failed"));
  EXPECT_FALSE (br_store_recover (store, &err));
  EXPECT_EQ (err.code, BR_ERROR_STORAGE);
  EXPECT_FALSE (br_store_is_usable (store));
  fail_sync = false;
  ASSERT_TRUE (br_store_recover (store, &err)) << err.text;
  EXPECT_TRUE (br_store_is_usable (store));
  EXPECT_TRUE (append ("after"));
  ASSERT_TRUE (open_store ());
  ASSERT_EQ (loaded.records.len, 4u);
  EXPECT_EQ (record (0), "before");
  EXPECT_EQ (record (2), "after");
}

TEST_F (Store, RecoveryMissesASyncedFrame)
{
  br_file_ops_t ops = br_file_system_ops;

  ops.fsync = fsync_fails;
  ASSERT_TRUE (open_store (&ops));
  ASSERT_TRUE (append ("first"));
  ASSERT_TRUE (append ("second"));
  fs::resize_file (segments ().back (),
                   fs::file_size (segments ().back ()) - 10);
  fail_sync = true;
  EXPECT_FALSE (append ("failed"));
  fail_sync = false;
  EXPECT_FALSE (br_store_recover (store, &err));
  EXPECT_EQ (err.code, BR_ERROR_CORRUPT);
  EXPECT_FALSE (br_store_is_usable (store));
}

/* --- disks that refuse in all ways --- */

br_random_t refusals;
double refused_share;

bool
refuses ()
{
  bool is_refused = br_random_unit (&refusals) < refused_share;

  if (is_refused)
    errno = ENOSPC;
  return is_refused;
}

/* A full disk may take a part of what is written. */
ssize_t
pwrite_refuses (int fd, const void *data, size_t len, off_t offset)
{
  if (!refuses ())
    return pwrite (fd, data, len, offset);
  if (len > 1 && br_random_below (&refusals, 2) == 0)
    return pwrite (fd, data, 1 + br_random_below (&refusals, len - 1), offset);
  errno = ENOSPC;
  return -1;
}

int
fsync_refuses (int fd)
{
  return refuses () ? -1 : fsync (fd);
}

int
ftruncate_refuses (int fd, off_t len)
{
  return refuses () ? -1 : ftruncate (fd, len);
}

int
rename_refuses (const char *from, const char *to)
{
  return refuses () ? -1 : rename (from, to);
}

int
reserve_refuses (int fd, off_t offset, off_t len)
{
  return refuses () ? -1 : br_file_system_ops.reserve (fd, offset, len);
}

/* Writes in series, each repeated until it succeeds, while the disk refuses at
 * random.  What was acknowledged is read back; a checkpoint that failed may
 * have left its records. */
TEST_F (Store, RecoversFromAnyRefusal)
{
  br_file_ops_t ops = { pwrite_refuses, fsync_refuses, ftruncate_refuses,
                        rename_refuses, reserve_refuses };

  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      std::vector<std::string> written;
      bool is_opened = false;

      TearDown ();
      store = nullptr;
      loaded = {};
      SetUp ();
      br_random_seed (&refusals, seed);
      refused_share = 0;
      ASSERT_TRUE (open_store (&ops));
      refused_share = 0.05 + 0.4 * br_random_unit (&refusals);
      for (int i = 0; i < 60; i++)
        {
          std::string text = "write " + std::to_string (i);
          bool is_checkpoint = br_random_below (&refusals, 10) == 0;
          bool is_done = false;

          text.append (br_random_below (&refusals, 300), '.');
          for (int tries = 0; !is_done && tries < 100000; tries++)
            {
              if (!br_store_is_usable (store)
                  && !br_store_recover (store, &err))
                {
                  ASSERT_EQ (err.code, BR_ERROR_STORAGE)
                      << "seed " << seed << ": " << err.text;
                  continue;
                }
              is_done = is_checkpoint ? checkpoint ("snapshot", text)
                                      : append (text);
            }
          ASSERT_TRUE (is_done) << "seed " << seed;
          if (is_checkpoint)
            written.clear ();
          written.push_back (text);
          if (!is_checkpoint)
            written.push_back ("second");
        }
      refused_share = 0;
      is_opened = open_store ();
      ASSERT_TRUE (is_opened) << "seed " << seed << ": " << err.text;
      ASSERT_GE (loaded.records.len, written.size ()) << "seed " << seed;

      size_t found = 0;

      for (size_t i = 0; i < loaded.records.len && found < written.size (); i++)
        found += record (i) == written[found];
      EXPECT_EQ (found, written.size ()) << "seed " << seed;
    }
}
