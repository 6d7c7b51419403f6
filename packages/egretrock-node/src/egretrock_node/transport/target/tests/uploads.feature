Feature: Uploads: large bodies of requests that run at most once

  # Guards against targets that are occupied while a caller sends slowly.
  Scenario: A target gets a small upload only once its body has arrived
    Given a node
    When a caller sends 30000 of 60000 bytes of an upload
    Then no target gets it within 0.2 seconds
    When the caller sends the rest
    Then it is answered, and the target got the whole body

  Scenario: A large upload is read on while it waits for a target
    Given a node
    And no target has a free slot
    When a caller sends 360000 of 360000 bytes of an upload
    Then the node holds between 200000 and 350000 bytes of it
    When a slot becomes free
    Then it is answered, and the target got the whole body

  Scenario: A caller that leaves halfway leaves no complete request
    Given a node
    When a caller sends 150000 of 300000 bytes of an upload
    And it leaves once the target has some of them
    Then the target's connection is closed before the body is complete
    And the node holds no bodies and no requests

  Scenario: A caller that closes its side halfway leaves no complete request
    Given a node
    When a caller sends 150000 of 300000 bytes of an upload
    And it closes its sending side once the target has some of them
    Then the target's connection is closed before the body is complete
    And the node holds no bodies and no requests

  Scenario: An upload whose target is lost halfway is not sent again
    Given a node with 2 targets
    And a target that closes the connection after 100000 bytes
    When a caller sends 300000 of 300000 bytes of an upload
    Then it is refused with 502 and run state unknown
    And it was sent once, and nothing of its rest was taken for a request

  Scenario Outline: An early answer ends an upload
    Given a node
    And a target that answers <answer> after 100000 bytes and keeps its connection
    When a caller sends 200000 of 300000 bytes of an upload
    Then it is answered with <status> and a close
    When the caller sends the rest
    And another upload is sent
    Then the other upload reaches the target on another connection, complete

    Examples:
      | answer              | status |
      | 200 OK              | 200    |
      | 413 Too Large       | 413    |
      | 429 Too Many        | 429    |
      | 500 Internal        | 500    |
      | 503 Unavailable     | 503    |

  # Guards against the rest of a body that is taken for the next request.
  Scenario Outline: The rest of an upload that was answered early is read off
    Given a node
    And a target that answers <answer> after 70000 bytes and keeps its connection
    When a caller sends 80000 of 100000 bytes of an upload
    Then it is answered with <status>
    When the caller sends the rest
    And it sends another upload on the same connection
    Then the other upload reaches the target on another connection, complete

    Examples:
      | answer        | status |
      | 200 OK        | 200    |
      | 413 Too Large | 413    |

  Scenario: Bytes beyond the announced length are not part of the upload
    Given a node
    When a caller sends 60010 bytes of an upload that announces 60000
    Then it is answered, and the target got the 60000 bytes announced
    And the bytes beyond are refused with 400 and a close

  Scenario Outline: A chunked upload that <fault> is never complete
    Given a node
    When a caller sends 200000 bytes of a chunked upload that <fault>
    Then the target's connection is closed before the last chunk
    And the node holds no bodies and no requests

    Examples:
      | fault                    |
      | ends without a last chunk |
      | goes on with a bad chunk |

  # Guards against a process that is killed because it exceeds its memory.
  Scenario: Many uploads to targets that do not read stay within the memory
    Given a node that holds 1 MB of bodies before it reads more slowly
    And targets that do not read
    When 40 callers send uploads of 200000 bytes
    Then the node holds at most 4 MB of bodies
    And some uploads are refused as queue_full and not run, without a byte sent
    And this is counted
    When the targets read
    Then every other upload is answered, and its target got the whole body
