Feature: A paused holder acts late
  An instance is paused after it has claimed a booking and before it sends it. Its claim lapses, the parent asks
  elsewhere, and the paused instance then goes on as if nothing had happened.

  Scenario: The holder wakes after another instance has confirmed the booking
    Given entry-1 will be paused for 20 s before its sent mark reaches the table
    When Ayse asks entry-1 to confirm booking "slot-17"
    And 12 s pass
    And Mehmet asks entry-2 to confirm booking "slot-17"
    And 2 s pass
    Then Mehmet has the whole answer
    When 20 s pass
    Then Ayse is told error 4007
    And booking "slot-17" ran 1 time
    And all promises hold
