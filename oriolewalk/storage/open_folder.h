#pragma once

// The steps by which data_folder::Open takes a folder into use.

#include <string>

#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/owned_file.h"
#include "oriolewalk/storage/records.h"
#include "oriolewalk/storage/recovery.h"

namespace oriolewalk::storage {

// Makes the folder if need be and holds it. Errors: Busy, Io.
result<owned_file>
LockFolder(file_system& aFiles, const std::string& aPath);

// Writes the identity into an empty folder, or compares it. Errors:
// InvalidArgument if the folder is another's.
result<void>
ClaimIdentity(file_system& aFiles,
              const std::string& aPath,
              const folder_identity& aIdentity,
              const folder_contents& aContents);

// Cuts a torn tail, makes what was read durable and removes leftovers. A
// segment of which not even the header was written is removed, also from
// aContents.
result<void>
Repair(file_system& aFiles,
       const std::string& aPath,
       folder_contents& aContents);

// Removes a file, and its name for good.
result<void>
RemoveDurably(file_system& aFiles,
              const std::string& aPath,
              const std::string& aName);

} // namespace oriolewalk::storage
